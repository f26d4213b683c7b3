//! Limits that servers name, kept by entries that do not ask each other.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{
    Balancer, Partition, ServerFeedback, ServerQuery, ServerRecord, Strategy, TurnSchedule,
};
use policy::peer_load::PeakEntryCount;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// The span in which arrivals are counted, and its slack.
const WINDOW: Duration = Duration::from_secs(4);
const SLACK: f64 = 5.0;

/// The part of a limit that may be exceeded.
const ALLOWED: f64 = 1.5;

fn listed(id: &str) -> ServerRecord {
    ServerRecord {
        id: Rc::from(id),
        service: Rc::from("app"),
        addr: "127.0.0.1:1".parse().expect("an address"),
        zone: Rc::from("a"),
        slots: 4,
        leaving: false,
        started_ms: Some(1),
    }
}

fn want() -> ServerQuery<'static> {
    ServerQuery {
        service: "app",
        prefix_hash: None,
        tried: &[],
        partition: Partition::All,
        strategy: Strategy::LeastOwnCalls,
        silence_timeout: Duration::from_secs(9),
    }
}

/// What an answer says that names this limit and nothing else.
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

/// Some moment of the day.
const WALL: Duration = Duration::from_millis(1_779_177_494_561);

/// Entries before one server.
struct Fleet {
    start: Instant,
    entries: Vec<Balancer>,
    sent: Vec<Instant>,
}

impl Fleet {
    fn new(entries: u32) -> Self {
        let start = Instant::now();
        let entry = |place| {
            let mut balance = Balancer::new("a");
            balance.upsert(start, listed("s"));
            balance.set_turns(turns(entries, place, start, WALL));
            balance
        };
        Self {
            start,
            entries: (0..entries).map(entry).collect(),
            sent: Vec::new(),
        }
    }

    /// Plays `span` in which each entry has a call all the time, and the server
    /// says `limit` in each answer.
    fn play(&mut self, from: Duration, span: Duration, limit: impl Fn(u64) -> f64) {
        for ms in 0..u64::try_from(span.as_millis()).expect("short") {
            let now = self.start + from + MS * u32::try_from(ms).expect("short");
            for entry in &mut self.entries {
                entry.apply_feedback(now, &listed("s"), now, &feedback(Some(limit(ms))), 0.0);
                let chosen = entry.choose(now, &want());
                if chosen.is_some_and(|s| entry.take_turn(now, &s.id)) {
                    self.sent.push(now);
                }
            }
        }
    }

    /// The most calls in a window.
    fn most(&self) -> usize {
        let within = |at: Instant| {
            let window = at..at + WINDOW;
            self.sent.iter().filter(|s| window.contains(*s)).count()
        };
        self.sent.iter().map(|at| within(*at)).max().unwrap_or(0)
    }
}

fn bound(limit: f64) -> f64 {
    ALLOWED * limit * WINDOW.as_secs_f64() + SLACK
}

/// Guards against each entry taking the whole limit for itself: the sum over all
/// of them keeps to it, and it is used.
#[rstest]
#[case::one(1, 2.0)]
#[case::four(4, 2.0)]
#[case::four_odd(4, 2.2)]
#[case::four_fast(4, 40.0)]
#[case::many(188, 2.0)]
#[case::many_fast(188, 40.0)]
#[case::hardly_any(4, 0.1)]
fn sum_keeps_to_the_limit(#[case] entries: u32, #[case] limit: f64) {
    let mut fleet = Fleet::new(entries);
    let span = Duration::from_secs(20);
    fleet.play(Duration::ZERO, span, |_| limit);
    let most = fleet.most() as f64;
    assert!(most <= bound(limit), "{most} calls in a window");
    let all = fleet.sent.len() as f64;
    assert!(
        all >= 0.7 * limit * span.as_secs_f64() - 1.0,
        "{all} calls in all"
    );
}

/// Guards against turns that move with a limit that changes in each answer.
#[test]
fn sum_keeps_to_a_limit_that_changes() {
    let mut fleet = Fleet::new(4);
    let limit = |ms: u64| 2.0 + (ms * 7919 % 10) as f64 / 50.0;
    fleet.play(Duration::ZERO, Duration::from_secs(20), limit);
    let most = fleet.most() as f64;
    assert!(most <= bound(2.0), "{most} calls in a window");
}

/// Guards against a burst when entries come and go, or a host's time of day
/// jumps.
#[test]
fn sum_keeps_to_the_limit_while_turns_move() {
    let mut fleet = Fleet::new(4);
    for step in 0..20u32 {
        let from = Duration::from_secs(1) * step;
        let at = fleet.start + from;
        for (place, entry) in (0..).zip(&mut fleet.entries) {
            let jump = MS * 2400 * (step % 2) * u32::from(place == 1);
            let entries = 4 + step % 3;
            entry.set_turns(turns(entries, place, at, WALL + from + jump));
        }
        fleet.play(from, Duration::from_secs(1), |_| 2.0);
    }
    let most = fleet.most() as f64;
    assert!(most <= bound(2.0), "{most} calls in a window");
}

/// Guards against entries that lose each other taking larger shares, each of
/// which counts towards the one limit.
#[test]
fn lost_entries_still_count() {
    let (mut count, now) = (PeakEntryCount::default(), Instant::now());
    assert_eq!(count.record(now, 4), 4);
    assert_eq!(count.record(now + Duration::from_secs(60), 1), 4);
    assert_eq!(count.record(now + Duration::from_secs(61), 5), 5);
    assert_eq!(count.record(now + Duration::from_secs(900), 3), 3);
}

fn limited() -> (Balancer, Instant) {
    let (mut balance, now) = (Balancer::new("a"), Instant::now());
    balance.upsert(now, listed("s"));
    balance.set_turns(turns(1, 0, now, WALL));
    balance.upsert(
        now,
        ServerRecord {
            addr: "127.0.0.2:1".parse().expect("an address"),
            ..listed("other")
        },
    );
    balance.apply_feedback(now, &listed("s"), now, &feedback(Some(0.0)), 0.0);
    (balance, now)
}

#[test]
fn limited_server_is_passed_over() {
    let (mut balance, now) = limited();
    for _ in 0..10 {
        let chosen = balance.choose(now, &want()).expect("a server");
        assert_eq!(&*chosen.id, "other");
    }
    assert!(!balance.take_turn(now, "s"));
    assert!(balance.take_turn(now, "other"));
}

/// Guards against a limit that is forgotten because an answer comes late that
/// was asked for before the limit was named.
#[test]
fn late_answer_lifts_nothing() {
    let (mut balance, now) = limited();
    balance.apply_feedback(now + MS * 9, &listed("s"), now - MS, &feedback(None), 0.0);
    assert!(!balance.take_turn(now + MS * 9, "s"));
    balance.apply_feedback(now + MS * 10, &listed("s"), now + MS, &feedback(None), 0.0);
    assert!(balance.take_turn(now + MS * 10, "s"));
}

#[test]
fn next_life_has_no_limit() {
    let (mut balance, now) = limited();
    let again = ServerRecord {
        started_ms: Some(2),
        ..listed("s")
    };
    balance.upsert(now, again);
    assert!(balance.take_turn(now, "s"));
}
