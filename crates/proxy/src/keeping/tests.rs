use super::*;
use std::sync::mpsc::channel;

#[test]
fn while_the_disk_hangs_only_the_newest_waits_and_nobody_waits_for_it() {
    let ((begun, begins), (let_go, goes)) = (channel(), channel());
    let keeping = Keeping::start(move |kept: &u64| {
        begun.send(*kept).expect("the test looks");
        // The disk hangs until the test says otherwise.
        goes.recv().expect("the test goes on");
        true
    });
    let keeping = keeping.expect("started");
    keeping.keep(1);
    assert_eq!(begins.recv(), Ok(1));
    (2..50).for_each(|n| keeping.keep(n));
    let_go.send(()).expect("it waits");
    assert_eq!(begins.recv(), Ok(49));
    drop(keeping);
    let_go.send(()).expect("it waits");
    assert!(begins.recv().is_err(), "the thread ends, and wrote nothing else");
}

/// Danger: after a disk that was full for a moment the next start would find what was true before that.
#[test]
fn what_could_not_be_written_is_written_again_until_it_is_or_something_newer_comes() {
    let (begun, begins) = channel();
    let mut fails = vec![true, true, false, true, false].into_iter();
    let keeping = Keeping::start(move |kept: &u64| {
        let done = !fails.next().expect("no more than that");
        begun.send((*kept, done)).expect("the test looks");
        done
    });
    let keeping = keeping.expect("started");
    keeping.keep(1);
    assert_eq!(
        [begins.recv(), begins.recv(), begins.recv()],
        [Ok((1, false)), Ok((1, false)), Ok((1, true))]
    );
    keeping.keep(2);
    assert_eq!(begins.recv(), Ok((2, false)));
    keeping.keep(3);
    assert_eq!(begins.recv(), Ok((3, true)), "the newer one is written in its place, at once");
    drop(keeping);
    assert!(begins.recv().is_err(), "the thread ends, and wrote nothing else");
}
