//! Feedback of servers that drop out of the list and return.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Balancer, ServerFeedback, ServerRecord, TurnSchedule};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// How long a server may be missing before it is removed.
const MISSING_TIMEOUT: Duration = Duration::from_secs(2);

const LEAVING: ServerFeedback = ServerFeedback {
    leaving: true,
    backoff: None,
    rate_limit: None,
};

const BACKOFF: ServerFeedback = ServerFeedback {
    leaving: false,
    backoff: Some(Duration::from_secs(60)),
    rate_limit: None,
};

const RATE_LIMIT: ServerFeedback = ServerFeedback {
    leaving: false,
    backoff: None,
    rate_limit: Some(0.0),
};

fn record(started_ms: u64) -> ServerRecord {
    ServerRecord {
        id: Rc::from("s"),
        service: Rc::from("app"),
        addr: "127.0.0.1:1".parse().expect("valid address"),
        zone: Rc::from("a"),
        slots: 4,
        leaving: false,
        started_ms: Some(started_ms),
        version: Rc::default(),
    }
}

fn balancer(now: Instant) -> Balancer {
    let mut balancer = Balancer::new("a");
    balancer.upsert(now, record(1));
    balancer.set_turns(TurnSchedule {
        entries: 1,
        turn_index: 0,
        instant: now,
        unix_time: Duration::from_secs(50),
    });
    balancer
}

/// Drops the server from the list until it is removed.
fn drop_from_list(balancer: &mut Balancer, now: Instant) {
    balancer.mark_missing(now, "s", now);
    assert_eq!(
        balancer
            .forget_missing(now + MISSING_TIMEOUT, MISSING_TIMEOUT)
            .len(),
        1
    );
}

/// Guards against calls to a server that the list dropped for a while and shows
/// again: it is the same incarnation, and its feedback is still in effect.
#[rstest]
#[case::leaving(LEAVING)]
#[case::backoff(BACKOFF)]
#[case::rate_limit(RATE_LIMIT)]
fn feedback_outlasts_a_drop(#[case] feedback: ServerFeedback) {
    let now = Instant::now();
    let mut balancer = balancer(now);
    balancer.apply_feedback(now, &record(1), now, &feedback, 0.0);
    drop_from_list(&mut balancer, now);
    let later = now + MISSING_TIMEOUT + MS;
    balancer.upsert(later, record(1));
    assert!(!balancer.take_turn(later, "s"));
}

/// Guards against losing feedback that arrives while the server is not listed.
#[rstest]
#[case::leaving(LEAVING)]
#[case::backoff(BACKOFF)]
#[case::rate_limit(RATE_LIMIT)]
fn feedback_during_a_drop(#[case] feedback: ServerFeedback) {
    let now = Instant::now();
    let mut balancer = balancer(now);
    drop_from_list(&mut balancer, now);
    let later = now + MISSING_TIMEOUT + MS;
    balancer.apply_feedback(later, &record(1), now, &feedback, 0.0);
    balancer.upsert(later, record(1));
    assert!(!balancer.take_turn(later, "s"));
}

/// Guards against feedback from before a drop being applied to the next incarnation
/// of the server.
#[rstest]
#[case::leaving(LEAVING)]
#[case::backoff(BACKOFF)]
#[case::rate_limit(RATE_LIMIT)]
fn next_incarnation_after_a_drop_is_unrestricted(#[case] feedback: ServerFeedback) {
    let now = Instant::now();
    let mut balancer = balancer(now);
    balancer.apply_feedback(now, &record(1), now, &feedback, 0.0);
    drop_from_list(&mut balancer, now);
    let later = now + MISSING_TIMEOUT + MS;
    balancer.upsert(later, record(2));
    assert!(balancer.take_turn(later, "s"));
}

/// Guards against a late answer of an earlier incarnation replacing the feedback of
/// the present one.
#[test]
fn late_answer_of_an_earlier_incarnation_is_ignored() {
    let now = Instant::now();
    let mut balancer = balancer(now);
    balancer.upsert(now, record(2));
    balancer.apply_feedback(now, &record(2), now, &LEAVING, 0.0);
    drop_from_list(&mut balancer, now);
    let later = now + MISSING_TIMEOUT + MS;
    balancer.apply_feedback(later, &record(1), now, &BACKOFF, 0.0);
    balancer.upsert(later, record(2));
    assert!(!balancer.accepts_calls("s"));
}

/// Guards against memory that grows with each server that ever sent feedback.
#[test]
fn feedback_of_removed_servers_expires() {
    let now = Instant::now();
    let mut balancer = balancer(now);
    balancer.apply_feedback(now, &record(1), now, &LEAVING, 0.0);
    drop_from_list(&mut balancer, now);
    let later = now + Duration::from_secs(3600);
    balancer.forget_missing(later, MISSING_TIMEOUT);
    balancer.upsert(later, record(1));
    assert!(balancer.take_turn(later, "s"));
}
