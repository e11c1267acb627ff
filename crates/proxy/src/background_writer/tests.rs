use super::*;
use std::sync::mpsc::channel;

#[test]
fn while_the_disk_hangs_writers_are_not_blocked_and_only_the_newest_value_is_queued() {
    let ((write_sender, writes), (release_sender, releases)) = (channel(), channel());
    let writer = BackgroundWriter::start(move |value: &u64| {
        write_sender.send(*value).expect("the test receives");
        // The write hangs until the test releases it.
        releases.recv().expect("the test releases the write");
        true
    });
    let writer = writer.expect("started");
    writer.write(1);
    assert_eq!(writes.recv(), Ok(1));
    (2..50).for_each(|n| writer.write(n));
    release_sender.send(()).expect("the write waits");
    assert_eq!(writes.recv(), Ok(49));
    drop(writer);
    release_sender.send(()).expect("the write waits");
    assert!(writes.recv().is_err(), "the thread ends without a further write");
}

/// Guards against stale state on disk: if a write failed because the disk was full and was not retried, the
/// next start would read the old value.
#[test]
fn a_failed_write_is_retried_until_it_succeeds_or_a_newer_value_comes() {
    let (write_sender, writes) = channel();
    let mut failures = vec![true, true, false, true, false].into_iter();
    let writer = BackgroundWriter::start(move |value: &u64| {
        let done = !failures.next().expect("no more than five writes");
        write_sender.send((*value, done)).expect("the test receives");
        done
    });
    let writer = writer.expect("started");
    writer.write(1);
    assert_eq!(
        [writes.recv(), writes.recv(), writes.recv()],
        [Ok((1, false)), Ok((1, false)), Ok((1, true))]
    );
    writer.write(2);
    assert_eq!(writes.recv(), Ok((2, false)));
    writer.write(3);
    assert_eq!(writes.recv(), Ok((3, true)), "the newer value is written immediately instead");
    drop(writer);
    assert!(writes.recv().is_err(), "the thread ends without a further write");
}
