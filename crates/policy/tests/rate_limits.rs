//! Rate limits announced by servers, kept by entries without coordination.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{
    Balancer, Partition, ServerFeedback, ServerQuery, ServerRecord, Strategy, TurnSchedule,
};
use policy::peer_load::PeakEntryCount;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// The window in which calls are counted, and the calls allowed beyond the limit.
const WINDOW: Duration = Duration::from_secs(4);
const SLACK: f64 = 5.0;

/// The allowed ratio of calls in a window to the rate limit.
const ALLOWED_RATIO: f64 = 1.5;

fn record(id: &str) -> ServerRecord {
    ServerRecord {
        id: Rc::from(id),
        service: Rc::from("app"),
        addr: "127.0.0.1:1".parse().expect("valid address"),
        zone: Rc::from("a"),
        slots: 4,
        leaving: false,
        started_ms: Some(1),
        version: Rc::default(),
    }
}

fn query() -> ServerQuery<'static> {
    ServerQuery {
        service: "app",
        prefix_hash: None,
        tried: &[],
        partition: Partition::All,
        strategy: Strategy::LeastOwnCalls,
        silence_timeout: Duration::from_secs(9),
        version: None,
    }
}

/// The feedback of an answer that contains only this rate limit.
fn feedback(rate_limit: Option<f64>) -> ServerFeedback {
    ServerFeedback {
        rate_limit,
        ..ServerFeedback::default()
    }
}

fn turns(entries: u32, turn_index: u32, instant: Instant, unix_time: Duration) -> TurnSchedule {
    TurnSchedule {
        entries,
        turn_index,
        instant,
        unix_time,
    }
}

/// The Unix time at the start of the tests.
const UNIX_TIME: Duration = Duration::from_millis(1_779_177_494_561);

/// Several entries that call one server.
struct Fleet {
    start: Instant,
    entries: Vec<Balancer>,
    sent: Vec<Instant>,
}

impl Fleet {
    fn new(entries: u32) -> Self {
        let start = Instant::now();
        let entry = |place| {
            let mut balancer = Balancer::new("a");
            balancer.upsert(start, record("s"));
            balancer.set_turns(turns(entries, place, start, UNIX_TIME));
            balancer
        };
        Self {
            start,
            entries: (0..entries).map(entry).collect(),
            sent: Vec::new(),
        }
    }

    /// Simulates `span`, in which each entry always has a call to send and each
    /// answer announces `limit` for the millisecond of the span.
    fn run(&mut self, from: Duration, span: Duration, limit: impl Fn(u64) -> f64) {
        for ms in 0..u64::try_from(span.as_millis()).expect("milliseconds fit") {
            let now = self.start + from + MS * u32::try_from(ms).expect("milliseconds fit");
            for entry in &mut self.entries {
                entry.apply_feedback(now, &record("s"), now, &feedback(Some(limit(ms))), 0.0);
                let chosen = entry.choose(now, &query());
                if chosen.is_some_and(|s| entry.take_turn(now, &s.id)) {
                    self.sent.push(now);
                }
            }
        }
    }

    /// The highest number of calls in a window.
    fn max_calls(&self) -> usize {
        let within = |at: Instant| {
            let window = at..at + WINDOW;
            self.sent.iter().filter(|s| window.contains(*s)).count()
        };
        self.sent.iter().map(|at| within(*at)).max().unwrap_or(0)
    }
}

fn allowed_calls(limit: f64) -> f64 {
    ALLOWED_RATIO * limit * WINDOW.as_secs_f64() + SLACK
}

/// Guards against each entry using the whole rate limit for itself: the sum of all
/// entries stays within the limit and uses most of it.
#[rstest]
#[case::one(1, 2.0)]
#[case::four(4, 2.0)]
#[case::four_odd(4, 2.2)]
#[case::four_fast(4, 40.0)]
#[case::many(188, 2.0)]
#[case::many_fast(188, 40.0)]
#[case::hardly_any(4, 0.1)]
fn total_stays_within_the_limit(#[case] entries: u32, #[case] limit: f64) {
    let mut fleet = Fleet::new(entries);
    let span = Duration::from_secs(20);
    fleet.run(Duration::ZERO, span, |_| limit);
    let max_calls = fleet.max_calls() as f64;
    assert!(
        max_calls <= allowed_calls(limit),
        "{max_calls} calls in a window"
    );
    let all = fleet.sent.len() as f64;
    assert!(
        all >= 0.7 * limit * span.as_secs_f64() - 1.0,
        "{all} calls in all"
    );
}

/// Guards against exceeding a limit that changes in each answer, which moves the
/// turns.
#[test]
fn total_stays_within_a_changing_limit() {
    let mut fleet = Fleet::new(4);
    let limit = |ms: u64| 2.0 + (ms * 7919 % 10) as f64 / 50.0;
    fleet.run(Duration::ZERO, Duration::from_secs(20), limit);
    let max_calls = fleet.max_calls() as f64;
    assert!(
        max_calls <= allowed_calls(2.0),
        "{max_calls} calls in a window"
    );
}

/// Guards against a burst when entries come and go, or the clock of a host jumps.
#[test]
fn total_stays_within_the_limit_while_turns_move() {
    let mut fleet = Fleet::new(4);
    for step in 0..20u32 {
        let from = Duration::from_secs(1) * step;
        let at = fleet.start + from;
        for (place, entry) in (0..).zip(&mut fleet.entries) {
            let jump = MS * 2400 * (step % 2) * u32::from(place == 1);
            let entries = 4 + step % 3;
            entry.set_turns(turns(entries, place, at, UNIX_TIME + from + jump));
        }
        fleet.run(from, Duration::from_secs(1), |_| 2.0);
    }
    let max_calls = fleet.max_calls() as f64;
    assert!(
        max_calls <= allowed_calls(2.0),
        "{max_calls} calls in a window"
    );
}

/// Guards against entries that lose contact to each other taking larger shares of
/// the same limit.
#[test]
fn unreachable_entries_still_count() {
    let (mut count, now) = (PeakEntryCount::default(), Instant::now());
    assert_eq!(count.record(now, 4), 4);
    assert_eq!(count.record(now + Duration::from_secs(60), 1), 4);
    assert_eq!(count.record(now + Duration::from_secs(61), 5), 5);
    assert_eq!(count.record(now + Duration::from_secs(900), 3), 3);
}

fn limited() -> (Balancer, Instant) {
    let (mut balancer, now) = (Balancer::new("a"), Instant::now());
    balancer.upsert(now, record("s"));
    balancer.set_turns(turns(1, 0, now, UNIX_TIME));
    balancer.upsert(
        now,
        ServerRecord {
            addr: "127.0.0.2:1".parse().expect("valid address"),
            ..record("other")
        },
    );
    balancer.apply_feedback(now, &record("s"), now, &feedback(Some(0.0)), 0.0);
    (balancer, now)
}

#[test]
fn server_without_a_turn_is_passed_over() {
    let (mut balancer, now) = limited();
    for _ in 0..10 {
        let chosen = balancer.choose(now, &query()).expect("an available server");
        assert_eq!(&*chosen.id, "other");
    }
    assert!(!balancer.take_turn(now, "s"));
    assert!(balancer.take_turn(now, "other"));
}

/// Guards against a limit being lifted by a late answer without a limit, to a call
/// that was sent before the limit was announced.
#[test]
fn late_answer_does_not_lift_the_limit() {
    let (mut balancer, now) = limited();
    balancer.apply_feedback(now + MS * 9, &record("s"), now - MS, &feedback(None), 0.0);
    assert!(!balancer.take_turn(now + MS * 9, "s"));
    balancer.apply_feedback(now + MS * 10, &record("s"), now + MS, &feedback(None), 0.0);
    assert!(balancer.take_turn(now + MS * 10, "s"));
}

#[test]
fn next_incarnation_has_no_limit() {
    let (mut balancer, now) = limited();
    let restarted = ServerRecord {
        started_ms: Some(2),
        ..record("s")
    };
    balancer.upsert(now, restarted);
    assert!(balancer.take_turn(now, "s"));
}
