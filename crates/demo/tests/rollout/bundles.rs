//! A version reaches every daemon, also past a log that is down.

use crate::common::{Fleet, Role, until};

#[test]
fn rollout_outage_and_crashes() {
    // The log goes down and an entry crashes: the one that replaces it gets
    // the bundle from the sidecar and takes requests. Then the sidecar's host
    // crashes too, still in the outage: the fresh sidecar, which nobody can
    // ask for it, gets the bundle with the first call. The caller notices
    // neither.
    let fleet = Fleet::start(&[]);
    fleet.down(true);
    fleet.one.crash();
    fleet.one.restart();
    fleet.until_ready(Role::One);
    assert_eq!(fleet.sequence(Role::One), 1);

    fleet.sidecar.crash();
    fleet.sidecar.restart();
    fleet.until_answers(Role::Sidecar);
    // A call with a key needs the log, so it only brings the versions level.
    until("the sidecar goes by the bundle", || {
        fleet.must_answer(Role::One);
        fleet.sequence(Role::Sidecar) == 1
    });

    fleet.down(false);
    let next = fleet.publish();
    for role in [Role::One, Role::Two, Role::Sidecar] {
        until("all go by the next", || fleet.sequence(role) == next);
    }
    fleet.stop();
}

#[test]
fn rollout_entry_cut_off() {
    // An entry never reaches the log. It gets the first bundle by asking the
    // sidecar, and each later one with the first answer that tells of it,
    // twice in a row.
    let fleet = Fleet::start(&[Role::Two]);
    for _ in 0..2 {
        let next = fleet.publish();
        until("the sidecar goes by it", || {
            fleet.sequence(Role::Sidecar) == next
        });
        until("the entry has heard", || {
            fleet.plain_call(Role::Two);
            fleet.sequence(Role::Two) == next
        });
    }
    fleet.stop();
}

#[test]
fn rollout_sidecar_cut_off() {
    // A sidecar never reaches the log. It holds the first call back until the
    // entry has handed it the bundle, then answers it; and each later version
    // comes with the next call.
    let fleet = Fleet::start(&[Role::Sidecar]);
    fleet.must_answer(Role::One);
    assert_eq!(fleet.sequence(Role::Sidecar), 1);
    for _ in 0..2 {
        let next = fleet.publish();
        until("the entry goes by it", || fleet.sequence(Role::One) == next);
        until("the sidecar goes by it", || {
            fleet.must_answer(Role::One);
            fleet.sequence(Role::Sidecar) == next
        });
    }
    fleet.stop();
}
