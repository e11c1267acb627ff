use super::*;

fn spec() -> Spec {
    Spec {
        cores: 1.0,
        speed: 1.0,
        slots: 1,
        room: 1,
        drops_queued: true,
        cold: 1000,
        cold_from: 0.5,
        fall_multiple: 3.0,
        fall: 100,
        falls_warm: false,
    }
}

#[test]
fn slots_then_room_then_turned_away_and_waiting_work_can_be_given_up() {
    let mut m = Machine::new(spec());
    assert_eq!(m.admit(0, 1, 10, false), Admitted::Begun);
    assert_eq!(m.admit(0, 2, 10, false), Admitted::Waits);
    assert_eq!(m.admit(0, 3, 10, false), Admitted::Full);
    assert!(!m.give_up(1), "what is in work goes on");
    let mut begun = Vec::new();
    assert_eq!(m.take_done(10, |t| begun.push(t)), Some(1));
    assert_eq!(begun, [2]);
    assert_eq!(m.admit(10, 4, 10, false), Admitted::Waits);
    assert!(m.give_up(4));
    assert_eq!(m.held(), 1);
}

/// Danger: the fall of a cold node is one of the rules; a model in which nothing falls proves nothing.
#[test]
fn a_cold_machine_falls_under_what_a_warm_one_bears() {
    let mut m = Machine::new(Spec { slots: 100, ..spec() });
    for ticket in 0..20 {
        assert_eq!(m.admit(5, ticket, 10, false), Admitted::Begun);
    }
    m.restart(10);
    for ticket in 0..15 {
        assert_eq!(m.admit(10, ticket, 10, false), Admitted::Begun, "{ticket}");
    }
    assert_eq!(m.admit(10, 15, 10, false), Admitted::Fell);
}
