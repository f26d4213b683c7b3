//! Tests the election of a duty holder under host failures, message loss and store
//! outages.

use std::time::{Duration, Instant};

use policy::duty::{Candidate, Step, TERM_TTL, Term, WriteOutcome};
use rstest::rstest;

/// How long a host must wait before it takes the duty back from its successor.
const RETURN_DELAY: Duration = Duration::from_secs(3);

/// Longer than any delay of a candidate.
const LONG: Duration = Duration::from_secs(20);

/// Interval between the steps of a candidate.
const TICK: Duration = Duration::from_millis(100);

/// The store's log of one duty.
#[derive(Default)]
struct Log {
    records: Vec<Term>,
}

impl Log {
    fn write(&mut self, at: u64, term: &Term) -> WriteOutcome {
        if at != self.records.len() as u64 {
            return WriteOutcome::Conflict;
        }
        self.records.push(term.clone());
        WriteOutcome::Stored(at)
    }

    fn end(&self) -> u64 {
        self.records.len() as u64
    }
}

/// Performs the action that is due for a candidate; the store answers immediately.
fn step(candidate: &mut Candidate, log: &mut Log, now: Instant, rank: usize) {
    let step = match candidate.next_step(now, rank) {
        Step::Read => candidate.record_read(now, log.records.last(), log.end()),
        step => step,
    };
    if let Step::Renew(term) | Step::Claim(term) = step {
        let outcome = log.write(candidate.log_end(), &term);
        candidate.record_write(now, now, term, outcome);
    }
}

/// Runs a candidate tick by tick until `done`; returns the time.
fn run_until(
    candidate: &mut Candidate,
    log: &mut Log,
    mut now: Instant,
    done: impl Fn(&Candidate, Instant) -> bool,
) -> Instant {
    let limit = now + LONG;
    while now < limit {
        step(candidate, log, now, 0);
        if done(candidate, now) {
            return now;
        }
        now += TICK;
    }
    panic!("the condition was not met within {LONG:?}");
}

fn candidate(now: Instant, name: &str) -> Candidate {
    Candidate::new(
        now,
        &format!("{name}-incarnation"),
        &format!("{name}-host"),
        RETURN_DELAY,
    )
}

fn holds(candidate: &Candidate, now: Instant) -> bool {
    candidate.token(now).is_some()
}

#[test]
fn claim_first() {
    // The duty has had no holder. The first candidate claims it after a startup delay
    // in which it could learn of a holder, and keeps it by renewal.
    let start = Instant::now();
    let (mut a, mut log) = (candidate(start, "a"), Log::default());
    let now = run_until(&mut a, &mut log, start, holds);
    assert!(now > start, "the first read is delayed");
    let token = a.token(now);
    for n in 0..50 {
        step(&mut a, &mut log, now + TICK * n, 0);
        assert_eq!(a.token(now + TICK * n), token);
    }
    assert!(log.end() > 3, "the term must be renewed");
}

#[test]
fn holder_killed() {
    // The holder is killed. The next candidate takes over once the record has been
    // unchanged for a whole term TTL, with a higher token, and the calls of the two
    // holders do not overlap.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = run_until(&mut a, &mut log, start, holds);
    let first = a.token(now).expect("held");
    let mut b = candidate(now, "b");
    b.observe_record(now, log.end(), false);
    let taken = run_until(&mut b, &mut log, now, holds);
    assert!(b.token(taken).expect("held") > first);
    assert_eq!(a.token(taken), None, "the old holder must have stopped");
    assert!(taken - now >= TERM_TTL);
}

#[test]
fn holder_unreachable_by_datagram() {
    // Datagrams from the holder to the next candidate are lost, while both reach the
    // store. The record keeps changing there, so the candidate does not take over.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let mut now = run_until(&mut a, &mut log, start, holds);
    let mut b = candidate(now, "b");
    let token = a.token(now);
    for _ in 0..200 {
        step(&mut a, &mut log, now, 0);
        step(&mut b, &mut log, now, 1);
        assert_eq!((a.token(now), b.token(now)), (token, None));
        now += TICK;
    }
}

#[test]
fn holder_suspended() {
    // The holder's host is suspended for longer than its lease, between its check and
    // its call. When it resumes there is a successor: its own token is invalid at once,
    // and it stays a candidate.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = run_until(&mut a, &mut log, start, holds);
    let mut b = candidate(now, "b");
    let woken = run_until(&mut b, &mut log, now, holds);
    assert_eq!(a.token(woken), None);
    step(&mut a, &mut log, woken, 0);
    step(&mut a, &mut log, woken + TICK, 0);
    assert!(!holds(&a, woken + TICK));
    assert!(holds(&b, woken + TICK));
}

#[test]
fn concurrent_claims() {
    // Two candidates read the same free record and both claim the duty. The log end has
    // moved for one of the writes, so only the other candidate holds the duty.
    let start = Instant::now();
    let mut log = Log::default();
    let (mut a, mut b) = (candidate(start, "a"), candidate(start, "b"));
    let now = start + LONG;
    let steps = [&mut a, &mut b].map(|c| c.record_read(now, None, 0));
    for (c, step) in [&mut a, &mut b].into_iter().zip(steps) {
        let Step::Claim(term) = step else {
            panic!("expected a claim")
        };
        let outcome = log.write(0, &term);
        c.record_write(now, now, term, outcome);
    }
    assert!(holds(&a, now));
    assert!(!holds(&b, now));
    assert_eq!(log.end(), 1);
}

#[test]
fn renewal_unanswered() {
    // The answer to a renewal is lost, but the write was stored. The holder reads its
    // own record and continues with the same token; no other candidate took over.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let mut now = run_until(&mut a, &mut log, start, holds);
    let token = a.token(now);
    let term = loop {
        now += TICK;
        match a.next_step(now, 0) {
            Step::Renew(term) => break term,
            step => assert_eq!(step, Step::Wait),
        }
    };
    assert_eq!(log.write(a.log_end(), &term), WriteOutcome::Stored(1));
    a.record_write(now, now, term, WriteOutcome::Unknown);
    let now = run_until(&mut a, &mut log, now + TICK, |a, _| a.log_end() == 3);
    assert_eq!(a.token(now), token);
}

#[test]
fn claim_executed_late() {
    // A claim is not answered, and the store executes it after the next candidate has
    // claimed. It names an outdated log end, so it has no effect.
    let start = Instant::now();
    let mut log = Log::default();
    let (mut a, mut b) = (candidate(start, "a"), candidate(start, "b"));
    let now = start + LONG;
    let Step::Claim(delayed_term) = a.record_read(now, None, 0) else {
        panic!("expected a claim")
    };
    a.record_write(now, now, delayed_term.clone(), WriteOutcome::Unknown);
    step(&mut b, &mut log, now, 0);
    assert!(holds(&b, now));
    assert_eq!(log.write(0, &delayed_term), WriteOutcome::Conflict);
    assert!(!holds(&a, now));
}

#[rstest]
#[case::other_host("b", true)]
#[case::previous_host("a", false)]
fn released(#[case] name: &str, #[case] immediately: bool) {
    // A holder that stops releases the duty. Another host takes it at once. The host
    // that held it previously must wait, since calls of two hosts could otherwise
    // alternate within a lease.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = run_until(&mut a, &mut log, start, holds);
    let mut c = candidate(now, "c");
    let now = run_until(&mut c, &mut log, now, holds);
    let term = c.resign(now, None).expect("the candidate holds the duty");
    assert_eq!(c.token(now), None);
    let outcome = log.write(c.log_end(), &term);
    c.record_write(now, now, term, outcome);
    assert_eq!(
        c.next_step(now + LONG, 0),
        Step::Wait,
        "the resignation is permanent"
    );

    let mut next = candidate(now - LONG, name);
    next.observe_record(now, log.end(), true);
    step(&mut next, &mut log, now, 0);
    assert_eq!(holds(&next, now), immediately);
    let later = run_until(&mut next, &mut log, now + TICK, holds);
    assert!(immediately || later - now >= RETURN_DELAY);
}

#[test]
fn rejected_token_is_not_reused() {
    // The platform has seen a higher token. The old one is never used again, although
    // the store still shows it; a new claim gets a higher one.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = run_until(&mut a, &mut log, start, holds);
    let token = a.token(now).expect("held");
    a.reject_token(now, token);
    assert_eq!(a.token(now), None);
    let now = run_until(&mut a, &mut log, now, holds);
    assert!(a.token(now).expect("held") > token);
}

#[test]
fn store_unavailable() {
    // The store is down for longer than a lease. The holder stops, no other candidate
    // can take over, and the holder continues with its token when the store is back.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let mut now = run_until(&mut a, &mut log, start, holds);
    let token = a.token(now);
    let back = now + TERM_TTL * 3;
    while now < back {
        match a.next_step(now, 0) {
            Step::Wait => {}
            Step::Read => a.record_read_failure(now),
            Step::Renew(term) | Step::Claim(term) => {
                a.record_write(now, now, term, WriteOutcome::Refused)
            }
        }
        now += TICK;
    }
    assert_eq!(a.token(now), None);
    let now = run_until(&mut a, &mut log, now, holds);
    assert_eq!(a.token(now), token);
}

#[test]
fn claim_after_successor() {
    // A holder is suspended and resumes after a successor has held the duty, acted on
    // it and ended. It claims the duty again, and must adopt the data in the
    // successor's record: with its own it would report a window a second time, with
    // other counts.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = run_until(&mut a, &mut log, start, holds);
    let mut b = candidate(now, "b");
    let now = run_until(&mut b, &mut log, now, holds);
    let woken = now + LONG;
    let Step::Renew(term) = a.next_step(woken, 0) else {
        panic!("expected a renewal")
    };
    let outcome = log.write(a.log_end(), &term);
    assert_eq!(outcome, WriteOutcome::Conflict);
    a.record_write(woken, woken, term, outcome);
    let mut now = woken;
    let step = loop {
        now += TICK;
        if a.next_step(now, 0) == Step::Read {
            match a.record_read(now, log.records.last(), log.end()) {
                Step::Wait => {}
                step => break step,
            }
        }
    };
    let Step::Claim(term) = step else {
        panic!("expected a claim, got {step:?}")
    };
    assert!(term.token > 2);
}
