//! What servers have said, across lapses of the list.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Balancer, ServerFeedback, ServerRecord, TurnSchedule};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// How long a server may be missing until it is forgotten.
const WAIT: Duration = Duration::from_secs(2);

const LEAVING: ServerFeedback = ServerFeedback {
    leaving: true,
    backoff: None,
    rate_limit: None,
};

const REST: ServerFeedback = ServerFeedback {
    leaving: false,
    backoff: Some(Duration::from_secs(60)),
    rate_limit: None,
};

const LIMIT: ServerFeedback = ServerFeedback {
    leaving: false,
    backoff: None,
    rate_limit: Some(0.0),
};

fn listed(born: u64) -> ServerRecord {
    ServerRecord {
        id: Rc::from("s"),
        service: Rc::from("app"),
        addr: "127.0.0.1:1".parse().expect("an address"),
        zone: Rc::from("a"),
        slots: 4,
        leaving: false,
        started_ms: Some(born),
    }
}

fn balance(now: Instant) -> Balancer {
    let mut balance = Balancer::new("a");
    balance.upsert(now, listed(1));
    balance.set_turns(TurnSchedule {
        entries: 1,
        turn_index: 0,
        instant: now,
        unix_time: Duration::from_secs(50),
    });
    balance
}

/// Has the list drop the server for long.
fn lapse(balance: &mut Balancer, now: Instant) {
    balance.mark_missing(now, "s", now);
    assert_eq!(balance.forget_missing(now + WAIT, WAIT).len(), 1);
}

/// Guards against a server being called again since the list had dropped it for
/// a while: it is the same life, and what it has said holds.
#[rstest]
#[case::leaving(LEAVING)]
#[case::rest(REST)]
#[case::limit(LIMIT)]
fn word_outlasts_a_lapse(#[case] word: ServerFeedback) {
    let now = Instant::now();
    let mut balance = balance(now);
    balance.apply_feedback(now, &listed(1), now, &word, 0.0);
    lapse(&mut balance, now);
    let later = now + WAIT + MS;
    balance.upsert(later, listed(1));
    assert!(!balance.take_turn(later, "s"));
}

/// Guards against an answer's word being lost since it comes while the list does
/// not show the server.
#[rstest]
#[case::leaving(LEAVING)]
#[case::rest(REST)]
#[case::limit(LIMIT)]
fn word_heard_during_a_lapse(#[case] word: ServerFeedback) {
    let now = Instant::now();
    let mut balance = balance(now);
    lapse(&mut balance, now);
    let later = now + WAIT + MS;
    balance.apply_feedback(later, &listed(1), now, &word, 0.0);
    balance.upsert(later, listed(1));
    assert!(!balance.take_turn(later, "s"));
}

/// Guards against the next life of a server being held to what its earlier one
/// has said before the list dropped it.
#[rstest]
#[case::leaving(LEAVING)]
#[case::rest(REST)]
#[case::limit(LIMIT)]
fn next_life_after_a_lapse_is_free(#[case] word: ServerFeedback) {
    let now = Instant::now();
    let mut balance = balance(now);
    balance.apply_feedback(now, &listed(1), now, &word, 0.0);
    lapse(&mut balance, now);
    let later = now + WAIT + MS;
    balance.upsert(later, listed(2));
    assert!(balance.take_turn(later, "s"));
}

/// Guards against a late answer of an earlier life taking the place of what the
/// present one has said.
#[test]
fn late_answer_of_an_earlier_life_means_nothing() {
    let now = Instant::now();
    let mut balance = balance(now);
    balance.upsert(now, listed(2));
    balance.apply_feedback(now, &listed(2), now, &LEAVING, 0.0);
    lapse(&mut balance, now);
    let later = now + WAIT + MS;
    balance.apply_feedback(later, &listed(1), now, &REST, 0.0);
    balance.upsert(later, listed(2));
    assert!(!balance.accepts_calls("s"));
}

/// Guards against memory that grows with each server that has ever said
/// something.
#[test]
fn word_of_ended_servers_is_let_go() {
    let now = Instant::now();
    let mut balance = balance(now);
    balance.apply_feedback(now, &listed(1), now, &LEAVING, 0.0);
    lapse(&mut balance, now);
    let later = now + Duration::from_secs(3600);
    balance.forget_missing(later, WAIT);
    balance.upsert(later, listed(1));
    assert!(balance.take_turn(later, "s"));
}
