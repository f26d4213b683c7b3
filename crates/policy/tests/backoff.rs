//! Servers that reject calls and ask for a backoff, with many entries that do not
//! coordinate.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Balancer, Partition, ServerFeedback, ServerQuery, ServerRecord, Strategy};
use policy::wait_estimate;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// How long a server takes to run a call.
const CALL_TIME: Duration = Duration::from_millis(50);

/// Calls that a server runs concurrently, and calls that it queues beyond these.
const SLOTS: usize = 6;
const QUEUE_LENGTH: usize = 6;

/// The rate of new calls as a fraction of the servers' capacity.
const LOAD: f64 = 0.7;

/// The backoff that servers ask for.
const BACKOFF: Duration = Duration::from_secs(3);

/// Number of entries of a large installation.
const ENTRIES: usize = 467;

/// The total timeout of a caller. It retries once, after a third of this at most.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);

fn record(number: usize) -> ServerRecord {
    ServerRecord {
        id: Rc::from(format!("s{number}")),
        service: Rc::from("app"),
        addr: SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], 1)),
        zone: Rc::from("a"),
        slots: SLOTS as u32,
        leaving: false,
        started_ms: None,
        version: Rc::default(),
    }
}

fn query<'a>(tried: &'a [Rc<str>]) -> ServerQuery<'a> {
    ServerQuery {
        service: "app",
        prefix_hash: None,
        tried,
        partition: Partition::All,
        strategy: Strategy::LeastOwnCalls,
        silence_timeout: Duration::from_secs(9),
        version: None,
    }
}

fn backoff(span: Duration) -> ServerFeedback {
    ServerFeedback {
        backoff: Some(span),
        ..ServerFeedback::default()
    }
}

/// The results of a simulated span.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    served: u32,
    /// Calls that reached a server and were rejected.
    rejected: u32,
    /// Calls whose retry failed too.
    lost: u32,
}

/// Entries that call the servers of one service.
struct Fleet {
    now: Instant,
    rng: Pcg64Mcg,
    entries: Vec<Balancer>,
    /// For each server the end of each of its calls and the entry that sent it.
    running: Vec<Vec<(Instant, usize)>>,
    /// When the callers of refused calls retry.
    retries: Vec<Instant>,
}

impl Fleet {
    fn new(entries: usize, servers: usize, seed: u64) -> Self {
        let start = Instant::now();
        let entry = |_| {
            let mut balancer = Balancer::new("a");
            for number in 0..servers {
                balancer.upsert(start, record(number));
            }
            balancer
        };
        Self {
            now: start,
            rng: Pcg64Mcg::seed_from_u64(seed),
            entries: (0..entries).map(entry).collect(),
            running: vec![Vec::new(); servers],
            retries: Vec::new(),
        }
    }

    /// New calls per second.
    fn rate(&self) -> f64 {
        LOAD * (self.running.len() * SLOTS) as f64 / CALL_TIME.as_secs_f64()
    }

    /// Simulates `span`. With a `backoff_span`, servers reject all calls and ask for it.
    fn run(&mut self, span: Duration, backoff_span: Option<Duration>) -> Outcome {
        let mut outcome = Outcome::default();
        for _ in 0..span.as_millis() {
            self.now += MS;
            self.end_calls();
            let rate = self.rate() * MS.as_secs_f64();
            let new = rate as u32 + u32::from(self.rng.random_bool(rate.fract()));
            for _ in 0..new {
                self.call(backoff_span, true, &mut outcome);
            }
            let now = self.now;
            let (due, later) = self.retries.iter().partition(|at| **at <= now);
            self.retries = later;
            let due: Vec<Instant> = due;
            for _ in due {
                self.call(backoff_span, false, &mut outcome);
            }
        }
        outcome
    }

    fn end_calls(&mut self) {
        for (number, calls) in self.running.iter_mut().enumerate() {
            let id = record(number).id;
            calls.retain(|(end, entry)| {
                let ended = *end <= self.now;
                if ended {
                    self.entries[*entry].call_succeeded(&id);
                    self.entries[*entry].call_started(&id);
                    self.entries[*entry].call_ended(&id);
                }
                !ended
            });
        }
    }

    /// Sends one call to a random entry, which tries up to two servers.
    fn call(&mut self, backoff_span: Option<Duration>, first: bool, outcome: &mut Outcome) {
        let entry_index = self.rng.random_range(0..self.entries.len());
        let mut tried = Vec::new();
        for _ in 0..2 {
            let entry = &mut self.entries[entry_index];
            let Some(server) = entry.choose(self.now, &query(&tried)) else {
                break;
            };
            let number: usize = server.id[1..].parse().expect("numeric suffix");
            let calls = &mut self.running[number];
            let full = calls.len() >= SLOTS + QUEUE_LENGTH;
            let feedback = match (backoff_span, full) {
                (Some(span), _) => backoff(span),
                (None, true) => backoff(Duration::from_secs(1)),
                (None, false) => {
                    let ahead = calls.len().saturating_sub(SLOTS - 1) as u32;
                    calls.push((
                        self.now + CALL_TIME + CALL_TIME * ahead / SLOTS as u32,
                        entry_index,
                    ));
                    assert!(entry.take_turn(self.now, &server.id));
                    entry.call_sent(self.now, &server.id);
                    outcome.served += 1;
                    return;
                }
            };
            outcome.rejected += 1;
            let jitter = self.rng.random();
            entry.apply_feedback(self.now, &server, self.now, &feedback, jitter);
            tried.push(server.id);
        }
        self.refuse(entry_index, first, outcome);
    }

    /// Tells a caller when to retry.
    fn refuse(&mut self, entry_index: usize, first: bool, outcome: &mut Outcome) {
        if !first {
            outcome.lost += 1;
            return;
        }
        let wait = self.entries[entry_index].next_turn(self.now, "app");
        let wait = wait.unwrap_or_default().max(MS * 100);
        let after = wait_estimate::jitter(wait, self.rng.random());
        self.retries.push(self.now + after.min(CALLER_TIMEOUT / 3));
    }
}

/// Guards against servers that are full again at the end of each backoff: all calls
/// that were held back would arrive at once, and the servers would hardly serve.
#[rstest]
#[case::one(1, 1)]
#[case::few(4, 3)]
#[case::some(24, 6)]
#[case::many(467, 11)]
fn service_recovers(#[case] entries: usize, #[case] servers: usize) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(entries, servers, seed);
        fleet.run(Duration::from_secs(2), None);
        fleet.run(Duration::from_secs(2), Some(BACKOFF));
        // The last backoff ends during this span.
        fleet.run(BACKOFF, None);
        let span = Duration::from_secs(5);
        let outcome = fleet.run(span, None);
        let usual = fleet.rate() * span.as_secs_f64();
        let served = f64::from(outcome.served);
        assert!(served >= 0.5 * usual, "{outcome:?}, usually {usual} calls");
    }
}

/// Guards against all entries returning at the same moment to a server that asked
/// all of them for a backoff.
#[test]
fn entries_return_with_jitter() {
    let mut fleet = Fleet::new(ENTRIES, 1, 1);
    for entry in &mut fleet.entries {
        let jitter = fleet.rng.random();
        entry.apply_feedback(fleet.now, &record(0), fleet.now, &backoff(BACKOFF), jitter);
    }
    let back = fleet.entries.iter().map(|e| e.next_turn(fleet.now, "app"));
    let back: Vec<Duration> = back
        .map(|left| left.expect("the server is in a backoff"))
        .collect();
    assert!(back.iter().all(|left| *left >= BACKOFF));
    assert!(max_simultaneous(&back) <= ENTRIES / 4);
}

/// Guards against all callers that were refused at one moment retrying at one
/// moment.
#[test]
fn callers_retry_with_jitter() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let back = (0..ENTRIES).map(|_| wait_estimate::jitter(BACKOFF, rng.random()));
    let back: Vec<Duration> = back.collect();
    assert!(back.iter().all(|left| *left >= BACKOFF));
    assert!(max_simultaneous(&back) <= ENTRIES / 4);
}

/// The highest number of these moments within a tenth of a second.
fn max_simultaneous(moments: &[Duration]) -> usize {
    let within = |from: Duration| {
        let tenth = from..from + MS * 100;
        moments.iter().filter(|m| tenth.contains(*m)).count()
    };
    moments.iter().map(|m| within(*m)).max().unwrap_or(0)
}

/// Two servers, the first of which has asked for a backoff.
fn pair(jitter: f64) -> (Balancer, Instant) {
    let (mut balancer, now) = (Balancer::new("a"), Instant::now());
    balancer.upsert(now, record(0));
    balancer.upsert(now, record(1));
    balancer.apply_feedback(now, &record(0), now, &backoff(BACKOFF), jitter);
    (balancer, now)
}

/// Guards against a backoff that ends early: on a successful answer to a call that
/// was already in flight, or when the list shows the server again.
#[rstest]
#[case::no_jitter(0.0)]
#[case::full_jitter(1.0)]
fn backoff_is_kept(#[case] jitter: f64) {
    let (mut balancer, now) = pair(jitter);
    balancer.call_succeeded("s0");
    balancer.apply_feedback(now, &record(0), now, &ServerFeedback::default(), 0.0);
    balancer.upsert(now, record(0));
    for ms in 0..3000 {
        let now = now + MS * ms;
        let chosen = balancer
            .choose(now, &query(&[]))
            .expect("an available server");
        assert_eq!(&*chosen.id, "s1");
        assert!(!balancer.take_turn(now, "s0"));
    }
    let end = now + BACKOFF + BACKOFF / 4;
    assert!(balancer.take_turn(end, "s0"));
}

/// Guards against a longer backoff being shortened by a later, shorter one.
#[test]
fn longer_backoff_is_kept() {
    let (mut balancer, now) = pair(0.0);
    let later = now + MS * 10;
    balancer.apply_feedback(later, &record(0), now, &backoff(MS * 100), 0.0);
    assert!(!balancer.take_turn(now + MS * 2900, "s0"));
}

/// Guards against callers not being told when to retry while all servers of a
/// service are in a backoff: the wait lasts until the first backoff ends.
#[test]
fn next_turn_is_the_first_end_of_a_backoff() {
    let (mut balancer, now) = pair(0.0);
    assert_eq!(balancer.next_turn(now, "app"), None);
    balancer.apply_feedback(now, &record(1), now, &backoff(MS * 500), 0.0);
    assert!(balancer.choose(now, &query(&[])).is_none());
    assert_eq!(balancer.next_turn(now, "app"), Some(MS * 500));
}

#[test]
fn next_incarnation_has_no_backoff() {
    let (mut balancer, now) = pair(0.0);
    let restarted = ServerRecord {
        started_ms: Some(2),
        ..record(0)
    };
    balancer.upsert(now, restarted);
    assert!(balancer.take_turn(now, "s0"));
}

/// Guards against a backoff of years, for which the service would lose the server.
#[test]
fn backoff_is_bounded() {
    let (mut balancer, now) = pair(0.0);
    for number in [0, 1] {
        balancer.apply_feedback(now, &record(number), now, &backoff(Duration::MAX), 1.0);
    }
    let left = balancer.next_turn(now, "app").expect("the backoff ends");
    assert!(left <= Duration::from_secs(7200));
}

/// Guards against a server getting several calls after a backoff before it has
/// answered one.
#[test]
fn slow_start_grows_with_answers() {
    let (mut balancer, now) = pair(0.0);
    let back = now + BACKOFF;
    let send = |balancer: &mut Balancer| {
        let taken = balancer.take_turn(back, "s0");
        if taken {
            balancer.call_sent(back, "s0");
        }
        taken
    };
    assert!(send(&mut balancer) && !send(&mut balancer));
    balancer.call_succeeded("s0");
    balancer.call_started("s0");
    balancer.call_ended("s0");
    assert!(send(&mut balancer) && send(&mut balancer) && !send(&mut balancer));
}

/// Guards against KV cache transfers from an engine that has asked for a backoff.
#[test]
fn server_in_backoff_is_no_prefix_holder() {
    let (balancer, now) = pair(0.0);
    let query = ServerQuery {
        prefix_hash: Some(7),
        ..query(&[])
    };
    let holders = balancer.prefix_holders(now, &query);
    assert_eq!(holders.len(), 1);
    assert_eq!(&*holders[0].id, "s1");
    assert_eq!(balancer.prefix_holders(now + BACKOFF, &query).len(), 2);
}
