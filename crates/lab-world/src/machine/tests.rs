use super::*;

fn spec() -> MachineSpec {
    MachineSpec {
        cores: 1.0,
        speed: 1.0,
        slots: 1,
        queue_capacity: 1,
        cancels_queued: true,
        warm_up: 1000,
        initial_capacity: 0.5,
        overload_multiple: 3.0,
        overload_window: 100,
        overloads_when_warm: false,
    }
}

#[test]
fn work_past_slots_and_queue_is_rejected_and_queued_work_can_be_cancelled() {
    let mut machine = Machine::new(spec());
    assert_eq!(machine.admit(0, 1, 10, false), Admitted::Started);
    assert_eq!(machine.admit(0, 2, 10, false), Admitted::Queued);
    assert_eq!(machine.admit(0, 3, 10, false), Admitted::Rejected);
    assert!(!machine.cancel(1), "work in processing continues");
    let mut begun = Vec::new();
    assert_eq!(machine.pop_completed(10, |id| begun.push(id)), Some(1));
    assert_eq!(begun, [2]);
    assert_eq!(machine.admit(10, 4, 10, false), Admitted::Queued);
    assert!(machine.cancel(4));
    assert_eq!(machine.pending(), 1);
}

/// Guards against a model in which cold nodes never go down: the auditor's rule on overloaded cold nodes would then
/// pass in every trial, whatever a proxy sends.
#[test]
fn a_cold_machine_goes_down_under_work_that_a_warm_one_processes() {
    let mut machine = Machine::new(MachineSpec { slots: 100, ..spec() });
    for attempt_id in 0..20 {
        assert_eq!(machine.admit(5, attempt_id, 10, false), Admitted::Started);
    }
    machine.restart(10);
    for attempt_id in 0..15 {
        assert_eq!(machine.admit(10, attempt_id, 10, false), Admitted::Started, "{attempt_id}");
    }
    assert_eq!(machine.admit(10, 15, 10, false), Admitted::Overloaded);
}
