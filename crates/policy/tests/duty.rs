//! Who performs a duty, replayed by the losses and delays that it has to bear.

use std::time::{Duration, Instant};

use policy::duty::{Candidate, Step, TERM_TTL, Term, WriteOutcome};
use rstest::rstest;

/// How long a host stays away after another one has followed it.
const AWAY: Duration = Duration::from_secs(3);

/// Longer than any pause of a candidate.
const LONG: Duration = Duration::from_secs(20);

/// How often candidates look.
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

/// Lets a candidate do what is due, with the store answering at once.
fn round(candidate: &mut Candidate, log: &mut Log, now: Instant, place: usize) {
    let step = match candidate.next_step(now, place) {
        Step::Read => candidate.record_read(now, log.records.last(), log.end()),
        step => step,
    };
    if let Step::Renew(term) | Step::Claim(term) = step {
        let written = log.write(candidate.log_end(), &term);
        candidate.record_write(now, now, term, written);
    }
}

/// Plays ticks until `done`; returns when.
fn play(
    candidate: &mut Candidate,
    log: &mut Log,
    mut now: Instant,
    done: impl Fn(&Candidate, Instant) -> bool,
) -> Instant {
    let limit = now + LONG;
    while now < limit {
        round(candidate, log, now, 0);
        if done(candidate, now) {
            return now;
        }
        now += TICK;
    }
    panic!("never");
}

fn candidate(now: Instant, name: &str) -> Candidate {
    Candidate::new(now, &format!("{name}-life"), &format!("{name}-host"), AWAY)
}

fn holds(candidate: &Candidate, now: Instant) -> bool {
    candidate.token(now).is_some()
}

#[test]
fn claim_first() {
    // Nobody has held the duty. The first in the order claims it after it had
    // time to hear of a holder, and keeps it by renewing its record.
    let start = Instant::now();
    let (mut a, mut log) = (candidate(start, "a"), Log::default());
    let now = play(&mut a, &mut log, start, holds);
    assert!(now > start, "it listens first");
    let token = a.token(now);
    for n in 0..50 {
        round(&mut a, &mut log, now + TICK * n, 0);
        assert_eq!(a.token(now + TICK * n), token);
    }
    assert!(log.end() > 3, "renewed");
}

#[test]
fn holder_silent() {
    // The holder is killed without a word. The next one takes the duty once
    // the record has stood unchanged for a whole TTL, with a higher token, and
    // the caller of the duty sees calls of one holder at a time.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = play(&mut a, &mut log, start, holds);
    let first = a.token(now).expect("held");
    let mut b = candidate(now, "b");
    b.observe_record(now, log.end(), false);
    let taken = play(&mut b, &mut log, now, holds);
    assert!(b.token(taken).expect("held") > first);
    assert_eq!(a.token(taken), None, "the old holder had stopped before");
    assert!(taken - now >= TERM_TTL);
}

#[test]
fn holder_unheard() {
    // Datagrams from the holder to the next in the order are lost, while both
    // reach the store. The record goes on changing there, so nobody takes the
    // duty away.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let mut now = play(&mut a, &mut log, start, holds);
    let mut b = candidate(now, "b");
    let token = a.token(now);
    for _ in 0..200 {
        round(&mut a, &mut log, now, 0);
        round(&mut b, &mut log, now, 1);
        assert_eq!((a.token(now), b.token(now)), (token, None));
        now += TICK;
    }
}

#[test]
fn holder_suspended() {
    // The holder's host is suspended between its check and its call, for
    // longer than its lease. It wakes with a successor at work: its token is
    // gone the moment it looks, and it stays a candidate only.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = play(&mut a, &mut log, start, holds);
    let mut b = candidate(now, "b");
    let woken = play(&mut b, &mut log, now, holds);
    assert_eq!(a.token(woken), None);
    round(&mut a, &mut log, woken, 0);
    round(&mut a, &mut log, woken + TICK, 0);
    assert!(!holds(&a, woken + TICK));
    assert!(holds(&b, woken + TICK));
}

#[test]
fn claims_together() {
    // Two candidates read the same free record and both claim. One write finds
    // the log's end moved, so one holds the duty and the other does not.
    let start = Instant::now();
    let mut log = Log::default();
    let (mut a, mut b) = (candidate(start, "a"), candidate(start, "b"));
    let now = start + LONG;
    let steps = [&mut a, &mut b].map(|c| c.record_read(now, None, 0));
    for (c, step) in [&mut a, &mut b].into_iter().zip(steps) {
        let Step::Claim(term) = step else {
            panic!("a claim")
        };
        let written = log.write(0, &term);
        c.record_write(now, now, term, written);
    }
    assert!(holds(&a, now));
    assert!(!holds(&b, now));
    assert_eq!(log.end(), 1);
}

#[test]
fn renewal_unanswered() {
    // A renewal's answer is lost and the write stands. The holder reads its
    // own record, goes on with the same token, and nobody else had a turn.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let mut now = play(&mut a, &mut log, start, holds);
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
    let now = play(&mut a, &mut log, now + TICK, |a, _| a.log_end() == 3);
    assert_eq!(a.token(now), token);
}

#[test]
fn claim_late() {
    // A claim is not answered, and the store carries it out later, after the
    // next one has claimed. It names an end that the log has left, so that it
    // changes nothing.
    let start = Instant::now();
    let mut log = Log::default();
    let (mut a, mut b) = (candidate(start, "a"), candidate(start, "b"));
    let now = start + LONG;
    let Step::Claim(late) = a.record_read(now, None, 0) else {
        panic!("a claim")
    };
    a.record_write(now, now, late.clone(), WriteOutcome::Unknown);
    round(&mut b, &mut log, now, 0);
    assert!(holds(&b, now));
    assert_eq!(log.write(0, &late), WriteOutcome::Conflict);
    assert!(!holds(&a, now));
}

#[rstest]
#[case::other_host("b", true)]
#[case::before("a", false)]
fn released(#[case] name: &str, #[case] at_once: bool) {
    // A holder that stops gives the duty up. Another host takes it at once;
    // the host that held it before waits, or calls of two hosts would go to
    // and fro within a lease.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = play(&mut a, &mut log, start, holds);
    let mut c = candidate(now, "c");
    let now = play(&mut c, &mut log, now, holds);
    let term = c.resign(now, None).expect("it held the duty");
    assert_eq!(c.token(now), None);
    let written = log.write(c.log_end(), &term);
    c.record_write(now, now, term, written);
    assert_eq!(c.next_step(now + LONG, 0), Step::Wait, "for good");

    let mut next = candidate(now - LONG, name);
    next.observe_record(now, log.end(), true);
    round(&mut next, &mut log, now, 0);
    assert_eq!(holds(&next, now), at_once);
    let later = play(&mut next, &mut log, now + TICK, holds);
    assert!(at_once || later - now >= AWAY);
}

#[test]
fn refused_for_good() {
    // The platform has seen a higher token. The old one is never used again,
    // though the store still shows it; a new claim has a higher one.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = play(&mut a, &mut log, start, holds);
    let token = a.token(now).expect("held");
    a.reject_token(now, token);
    assert_eq!(a.token(now), None);
    let now = play(&mut a, &mut log, now, holds);
    assert!(a.token(now).expect("held") > token);
}

#[test]
fn store_away() {
    // The store is down for longer than a lease. The holder stops, nobody else
    // can take the duty, and it goes on with its token when the store is back.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let mut now = play(&mut a, &mut log, start, holds);
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
    let now = play(&mut a, &mut log, now, holds);
    assert_eq!(a.token(now), token);
}

#[test]
fn claim_after_others() {
    // A holder is suspended and wakes after a successor has held the duty, done
    // something with it and ended. It claims the duty again, and is told to go
    // by the successor's record: by its own it would report a window a second
    // time, with other counts.
    let start = Instant::now();
    let mut log = Log::default();
    let mut a = candidate(start, "a");
    let now = play(&mut a, &mut log, start, holds);
    let mut b = candidate(now, "b");
    let now = play(&mut b, &mut log, now, holds);
    let woken = now + LONG;
    let Step::Renew(term) = a.next_step(woken, 0) else {
        panic!("a renewal")
    };
    let written = log.write(a.log_end(), &term);
    assert_eq!(written, WriteOutcome::Conflict);
    a.record_write(woken, woken, term, written);
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
        panic!("{step:?}")
    };
    assert!(term.token > 2);
}
