//! New bundle versions reach every daemon, also those that cannot reach the
//! log.

use crate::common::{Fleet, Role, until};

#[test]
fn rollout_log_outage_and_crashes() {
    // During a log outage an entry crashes and restarts. It must get the bundle
    // from the sidecar and become ready. Then the sidecar crashes and restarts
    // as well. It cannot fetch the bundle, so it must get it from the entry with
    // the first call. All calls must succeed.
    let fleet = Fleet::start(&[]);
    fleet.set_log_down(true);
    fleet.one.crash();
    fleet.one.restart();
    fleet.until_ready(Role::One);
    assert_eq!(fleet.sequence(Role::One), 1);

    fleet.sidecar.crash();
    fleet.sidecar.restart();
    fleet.until_answers(Role::Sidecar);
    // These calls have no idempotency key, since a call with a key needs the
    // log.
    until("the sidecar applies the bundle", || {
        fleet.call_successfully(Role::One);
        fleet.sequence(Role::Sidecar) == 1
    });

    fleet.set_log_down(false);
    let next = fleet.publish();
    for role in [Role::One, Role::Two, Role::Sidecar] {
        until("all are up to date", || fleet.sequence(role) == next);
    }
    fleet.stop();
}

#[test]
fn rollout_entry_without_log() {
    // An entry never reaches the log. It must fetch the first bundle from the
    // sidecar, and each later version after an answer that announces it, twice
    // in a row.
    let fleet = Fleet::start(&[Role::Two]);
    for _ in 0..2 {
        let next = fleet.publish();
        until("sidecar is up to date", || {
            fleet.sequence(Role::Sidecar) == next
        });
        until("entry is up to date", || {
            fleet.call_without_key(Role::Two);
            fleet.sequence(Role::Two) == next
        });
    }
    fleet.stop();
}

#[test]
fn rollout_sidecar_without_log() {
    // A sidecar never reaches the log. It must delay the first call until the
    // entry has sent it the bundle, then answer it. Each later version must
    // arrive with the next call.
    let fleet = Fleet::start(&[Role::Sidecar]);
    fleet.call_successfully(Role::One);
    assert_eq!(fleet.sequence(Role::Sidecar), 1);
    for _ in 0..2 {
        let next = fleet.publish();
        until("entry is up to date", || fleet.sequence(Role::One) == next);
        until("sidecar is up to date", || {
            fleet.call_successfully(Role::One);
            fleet.sequence(Role::Sidecar) == next
        });
    }
    fleet.stop();
}
