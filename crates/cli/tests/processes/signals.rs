//! Daemons that are told to stop, killed and frozen.

use nix::sys::signal::Signal;

use crate::caller::{Call, End};
use crate::fleet::{Fleet, until};

/// Tokens of an answer that takes half a second.
const HALF: u32 = 100;

/// The entry gets SIGTERM while it streams an answer. The caller still gets
/// the whole answer, the process ends with 0, and only once it is done.
#[test]
fn entry_term() {
    let mut fleet = Fleet::start("entry-term", 1);
    let mut call = Call::stream(fleet.at_entry(), "a", HALF);
    call.first_token();

    fleet.entry.signal(Signal::SIGTERM);
    assert_eq!(call.end(1), End::Whole(HALF as usize));
    assert_eq!(fleet.entry.wait().code(), Some(0));
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// The sidecar that runs an answer gets SIGTERM. The caller still gets the
/// whole answer from that one run, and the process ends with 0 after it.
#[test]
fn sidecar_term() {
    let mut fleet = Fleet::start("sidecar-term", 1);
    let mut call = Call::stream(fleet.at_entry(), "a", HALF);
    call.first_token();

    fleet.sidecars[0].signal(Signal::SIGTERM);
    assert_eq!(call.end(1), End::Whole(HALF as usize));
    assert_eq!(fleet.sidecars[0].wait().code(), Some(0));
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// The only sidecar is killed in the middle of a stream. What the caller has
/// cannot be gone on with by another run, so it is told that the answer broke
/// off, without an end mark, and the request is not run again.
#[test]
fn sidecar_kill_streaming() {
    let fleet = Fleet::start("sidecar-kill", 2);
    let mut call = Call::stream(fleet.at_entry(), "a", 10 * HALF);
    call.first_token();

    for sidecar in [0, 2] {
        fleet.sidecars[sidecar].signal(Signal::SIGKILL);
    }
    let End::Refused(_, ran) = call.end(1) else {
        panic!("the caller is told that the answer broke off");
    };
    assert_eq!(ran, "partial");
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// The sidecar of a plain service is killed while a call that must not be
/// repeated runs there. Whether the letter went out cannot be told any more:
/// the caller hears `unknown`, and the other sidecar never gets the call.
#[test]
fn sidecar_kill_letter() {
    let fleet = Fleet::start("letter-kill", 2);
    let call = Call::letter(fleet.at_entry(), "a");
    until("the letter is being sent", || {
        fleet.ledger.counts("a").runs == 1
    });

    for sidecar in [1, 3] {
        fleet.sidecars[sidecar].signal(Signal::SIGKILL);
    }
    let End::Refused(reason, ran) = call.end(0) else {
        panic!("the caller is told that the outcome is unknown");
    };
    assert_eq!(
        (reason.as_str(), ran.as_str()),
        ("outcome_unknown", "unknown")
    );
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// The sidecar of a plain service freezes while a call that must not be
/// repeated runs there, for longer than anyone waits for it, and goes on
/// later. The caller hears `unknown`; the letter is sent once, not again when
/// the frozen process goes on.
#[test]
fn sidecar_freeze_letter() {
    let fleet = Fleet::start("letter-freeze", 2);
    let call = Call::letter(fleet.at_entry(), "a");
    until("the letter is being sent", || {
        fleet.ledger.counts("a").runs == 1
    });

    for sidecar in [1, 3] {
        fleet.sidecars[sidecar].signal(Signal::SIGSTOP);
    }
    let end = call.end(0);
    for sidecar in [1, 3] {
        fleet.sidecars[sidecar].signal(Signal::SIGCONT);
    }
    let End::Refused(reason, ran) = end else {
        panic!("the caller is told that the outcome is unknown, not {end:?}");
    };
    assert_eq!(
        (reason.as_str(), ran.as_str()),
        ("outcome_unknown", "unknown")
    );

    let after = Call::letter(fleet.at_entry(), "b").end(0);
    assert_eq!(after, End::Whole(0));
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// A sidecar freezes before it is asked for anything. A request that reserves
/// there and at a second one is served by the second, in one run, and nothing
/// more happens when the frozen process goes on and finds the reservation.
#[test]
fn sidecar_freeze_reserve() {
    let fleet = Fleet::start("freeze-reserve", 2);
    fleet.sidecars[0].signal(Signal::SIGSTOP);
    let end = Call::stream(fleet.at_entry(), "a", 5).end(0);
    fleet.sidecars[0].signal(Signal::SIGCONT);
    assert_eq!(end, End::Whole(5));

    let after = Call::stream(fleet.at_entry(), "b", 5).end(0);
    assert_eq!(after, End::Whole(5));
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// The entry is killed in the middle of a stream. Its caller sees the
/// connection end without an end mark. Nobody pulls the answer any more, so
/// the sidecar stops the run instead of making tokens for nobody.
#[test]
fn entry_kill() {
    let fleet = Fleet::start("entry-kill", 1);
    let mut call = Call::stream(fleet.at_entry(), "a", 100_000);
    call.first_token();

    fleet.entry.signal(Signal::SIGKILL);
    assert_eq!(call.end(1), End::Cut);
    let mut made = fleet.ledger.counts("a").output_tokens;
    let mut still = 0;
    until("no more tokens are made", || {
        let now = fleet.ledger.counts("a").output_tokens;
        still = if now == made { still + 1 } else { 0 };
        made = now;
        still > 50
    });
    assert_eq!(fleet.ledger.counts("a").completed_runs, 0);
}
