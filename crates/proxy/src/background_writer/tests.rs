use super::*;
use std::sync::mpsc::channel;

#[test]
fn while_the_disk_hangs_only_the_newest_value_waits_and_nobody_waits_for_it() {
    let ((begun, begins), (release, released)) = (channel(), channel());
    let writer = BackgroundWriter::start(move |value: &u64| {
        begun.send(*value).expect("the test looks");
        // The disk hangs until the test says otherwise.
        released.recv().expect("the test goes on");
        true
    });
    let writer = writer.expect("started");
    writer.write(1);
    assert_eq!(begins.recv(), Ok(1));
    (2..50).for_each(|n| writer.write(n));
    release.send(()).expect("it waits");
    assert_eq!(begins.recv(), Ok(49));
    drop(writer);
    release.send(()).expect("it waits");
    assert!(begins.recv().is_err(), "the thread ends, and wrote nothing else");
}

/// Danger: after a disk that was full for a moment the next start would find what was true before that.
#[test]
fn a_failed_write_is_retried_until_it_succeeds_or_a_newer_value_comes() {
    let (begun, begins) = channel();
    let mut failures = vec![true, true, false, true, false].into_iter();
    let writer = BackgroundWriter::start(move |value: &u64| {
        let done = !failures.next().expect("no more than that");
        begun.send((*value, done)).expect("the test looks");
        done
    });
    let writer = writer.expect("started");
    writer.write(1);
    assert_eq!(
        [begins.recv(), begins.recv(), begins.recv()],
        [Ok((1, false)), Ok((1, false)), Ok((1, true))]
    );
    writer.write(2);
    assert_eq!(begins.recv(), Ok((2, false)));
    writer.write(3);
    assert_eq!(begins.recv(), Ok((3, true)), "the newer one is written in its place, at once");
    drop(writer);
    assert!(begins.recv().is_err(), "the thread ends, and wrote nothing else");
}
