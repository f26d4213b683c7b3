//! Daemons that receive SIGTERM, SIGKILL or SIGSTOP while they serve a request.

use nix::sys::signal::Signal;

use crate::caller::{Call, Outcome};
use crate::fleet::{Fleet, wait_until};

/// Tokens of an answer that takes 0.5 s.
const ANSWER_TOKENS: u32 = 100;

/// Guards against SIGTERM cutting off a stream at the entry. The caller must
/// get the complete answer before the process exits with code 0.
#[test]
fn entry_sigterm_completes_stream() {
    let mut fleet = Fleet::start("entry-term", 1);
    let mut call = Call::stream(fleet.entry_addr(), "a", ANSWER_TOKENS);
    call.first_token();

    fleet.entry.signal(Signal::SIGTERM);
    assert_eq!(call.end(1), Outcome::Complete(ANSWER_TOKENS as usize));
    assert_eq!(fleet.entry.wait().code(), Some(0));
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// Guards against SIGTERM cutting off a run at the sidecar. The caller must get
/// the complete answer from that run before the process exits with code 0.
#[test]
fn sidecar_sigterm_completes_run() {
    let mut fleet = Fleet::start("sidecar-term", 1);
    let mut call = Call::stream(fleet.entry_addr(), "a", ANSWER_TOKENS);
    call.first_token();

    fleet.sidecars[0].signal(Signal::SIGTERM);
    assert_eq!(call.end(1), Outcome::Complete(ANSWER_TOKENS as usize));
    assert_eq!(fleet.sidecars[0].wait().code(), Some(0));
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// Guards against a retry after part of the answer was delivered. Both engine
/// sidecars are killed in the middle of a stream. Another run could not continue
/// the partial answer, so the caller must get an error and no end marker.
#[test]
fn sidecar_kill_streaming() {
    let fleet = Fleet::start("sidecar-kill", 2);
    let mut call = Call::stream(fleet.entry_addr(), "a", 10 * ANSWER_TOKENS);
    call.first_token();

    for sidecar in [0, 2] {
        fleet.sidecars[sidecar].signal(Signal::SIGKILL);
    }
    let Outcome::Error(_, ran) = call.end(1) else {
        panic!("expected an error after the partial answer");
    };
    assert_eq!(ran, "partial");
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// Guards against a retry of an unrepeatable call. The sidecars of the plain
/// service are killed while the call runs, so its outcome is unknown: the caller
/// must get `unknown`, and the call must run only once.
#[test]
fn sidecar_kill_unrepeatable() {
    let fleet = Fleet::start("letter-kill", 2);
    let call = Call::unrepeatable(fleet.entry_addr(), "a");
    wait_until("the unrepeatable call runs", || {
        fleet.ledger.counts("a").runs == 1
    });

    for sidecar in [1, 3] {
        fleet.sidecars[sidecar].signal(Signal::SIGKILL);
    }
    let Outcome::Error(reason, ran) = call.end(0) else {
        panic!("expected an unknown outcome");
    };
    assert_eq!(
        (reason.as_str(), ran.as_str()),
        ("outcome_unknown", "unknown")
    );
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// Guards against a second run of an unrepeatable call after a pause. The
/// sidecars of the plain service are paused for longer than the call's timeout
/// and then resumed. The caller must get `unknown`, and the call must run once.
#[test]
fn sidecar_pause_unrepeatable() {
    let fleet = Fleet::start("letter-freeze", 2);
    let call = Call::unrepeatable(fleet.entry_addr(), "a");
    wait_until("the unrepeatable call runs", || {
        fleet.ledger.counts("a").runs == 1
    });

    for sidecar in [1, 3] {
        fleet.sidecars[sidecar].signal(Signal::SIGSTOP);
    }
    let outcome = call.end(0);
    for sidecar in [1, 3] {
        fleet.sidecars[sidecar].signal(Signal::SIGCONT);
    }
    let Outcome::Error(reason, ran) = outcome else {
        panic!("expected an unknown outcome, not {outcome:?}");
    };
    assert_eq!(
        (reason.as_str(), ran.as_str()),
        ("outcome_unknown", "unknown")
    );

    let after = Call::unrepeatable(fleet.entry_addr(), "b").end(0);
    assert_eq!(after, Outcome::Complete(0));
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// Guards against a second run when a paused sidecar resumes and finds an old
/// reservation. A request that reserves there and at another sidecar must be
/// served by the other one, in a single run.
#[test]
fn sidecar_pause_before_reserve() {
    let fleet = Fleet::start("freeze-reserve", 2);
    fleet.sidecars[0].signal(Signal::SIGSTOP);
    let outcome = Call::stream(fleet.entry_addr(), "a", 5).end(0);
    fleet.sidecars[0].signal(Signal::SIGCONT);
    assert_eq!(outcome, Outcome::Complete(5));

    let after = Call::stream(fleet.entry_addr(), "b", 5).end(0);
    assert_eq!(after, Outcome::Complete(5));
    assert_eq!(fleet.ledger.counts("a").runs, 1);
}

/// Guards against runs that outlive their entry. The entry is killed in the
/// middle of a stream; its caller gets a truncated answer, and the sidecar must
/// stop the run because nobody pulls its chunks.
#[test]
fn entry_kill_stops_run() {
    let fleet = Fleet::start("entry-kill", 1);
    let mut call = Call::stream(fleet.entry_addr(), "a", 100_000);
    call.first_token();

    fleet.entry.signal(Signal::SIGKILL);
    assert_eq!(call.end(1), Outcome::Truncated);
    let mut generated = fleet.ledger.counts("a").output_tokens;
    let mut unchanged = 0;
    wait_until("no more tokens are generated", || {
        let now = fleet.ledger.counts("a").output_tokens;
        unchanged = if now == generated { unchanged + 1 } else { 0 };
        generated = now;
        unchanged > 50
    });
    assert_eq!(fleet.ledger.counts("a").completed_runs, 0);
}
