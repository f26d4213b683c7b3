//! Servers that turn calls away and ask for rest, before many entries that do
//! not ask each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Balancer, Partition, ServerFeedback, ServerQuery, ServerRecord, Strategy};
use policy::wait_estimate;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// How long a server takes for a call.
const WORK: Duration = Duration::from_millis(50);

/// Calls that a server runs at once, and how many more it keeps waiting.
const SLOTS: usize = 6;
const QUEUE: usize = 6;

/// The part of what the servers can do that callers ask for.
const LOAD: f64 = 0.7;

/// The rest that servers ask for.
const ASKED: Duration = Duration::from_secs(3);

/// Entries of a large installation.
const ENTRIES: usize = 467;

/// How long a caller waits in all, of which it spends a third at the most until
/// it comes back once.
const PATIENCE: Duration = Duration::from_secs(12);

fn listed(number: usize) -> ServerRecord {
    ServerRecord {
        id: Rc::from(format!("s{number}")),
        service: Rc::from("app"),
        addr: SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], 1)),
        zone: Rc::from("a"),
        slots: SLOTS as u32,
        leaving: false,
        started_ms: None,
    }
}

fn want<'a>(tried: &'a [Rc<str>]) -> ServerQuery<'a> {
    ServerQuery {
        service: "app",
        prefix_hash: None,
        tried,
        partition: Partition::All,
        strategy: Strategy::LeastOwnCalls,
        silence_timeout: Duration::from_secs(9),
    }
}

fn rest(span: Duration) -> ServerFeedback {
    ServerFeedback {
        backoff: Some(span),
        ..ServerFeedback::default()
    }
}

/// What a span of time came to.
#[derive(Debug, Default, Clone, Copy)]
struct Seen {
    served: u32,
    /// Calls that reached a server and were turned away.
    turned_away: u32,
    /// Calls of callers that came back in vain.
    lost: u32,
}

/// Entries before the servers of one service.
struct Fleet {
    now: Instant,
    rng: Pcg64Mcg,
    entries: Vec<Balancer>,
    /// When each server's calls end, with who sent them.
    busy: Vec<Vec<(Instant, usize)>>,
    /// Callers on their way back.
    returning: Vec<Instant>,
}

impl Fleet {
    fn new(entries: usize, servers: usize, seed: u64) -> Self {
        let start = Instant::now();
        let entry = |_| {
            let mut balance = Balancer::new("a");
            for number in 0..servers {
                balance.upsert(start, listed(number));
            }
            balance
        };
        Self {
            now: start,
            rng: Pcg64Mcg::seed_from_u64(seed),
            entries: (0..entries).map(entry).collect(),
            busy: vec![Vec::new(); servers],
            returning: Vec::new(),
        }
    }

    /// Calls a second that callers begin.
    fn rate(&self) -> f64 {
        LOAD * (self.busy.len() * SLOTS) as f64 / WORK.as_secs_f64()
    }

    /// Plays `span`, in which the servers serve or turn all calls away.
    fn play(&mut self, span: Duration, asks: Option<Duration>) -> Seen {
        let mut seen = Seen::default();
        for _ in 0..span.as_millis() {
            self.now += MS;
            self.end_calls();
            let rate = self.rate() * MS.as_secs_f64();
            let new = rate as u32 + u32::from(self.rng.random_bool(rate.fract()));
            for _ in 0..new {
                self.call(asks, true, &mut seen);
            }
            let now = self.now;
            let (due, later) = self.returning.iter().partition(|at| **at <= now);
            self.returning = later;
            let due: Vec<Instant> = due;
            for _ in due {
                self.call(asks, false, &mut seen);
            }
        }
        seen
    }

    fn end_calls(&mut self) {
        for (number, calls) in self.busy.iter_mut().enumerate() {
            let id = listed(number).id;
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

    /// One call of a caller to some entry, which sends it twice at the most.
    fn call(&mut self, asks: Option<Duration>, first: bool, seen: &mut Seen) {
        let which = self.rng.random_range(0..self.entries.len());
        let mut tried = Vec::new();
        for _ in 0..2 {
            let entry = &mut self.entries[which];
            let Some(server) = entry.choose(self.now, &want(&tried)) else {
                break;
            };
            let number: usize = server.id[1..].parse().expect("a number");
            let calls = &mut self.busy[number];
            let full = calls.len() >= SLOTS + QUEUE;
            let word = match (asks, full) {
                (Some(span), _) => rest(span),
                (None, true) => rest(Duration::from_secs(1)),
                (None, false) => {
                    let ahead = calls.len().saturating_sub(SLOTS - 1) as u32;
                    calls.push((self.now + WORK + WORK * ahead / SLOTS as u32, which));
                    assert!(entry.take_turn(self.now, &server.id));
                    entry.call_sent(self.now, &server.id);
                    seen.served += 1;
                    return;
                }
            };
            seen.turned_away += 1;
            let drawn = self.rng.random();
            entry.apply_feedback(self.now, &server, self.now, &word, drawn);
            tried.push(server.id);
        }
        self.refuse(which, first, seen);
    }

    /// Tells a caller when to come back.
    fn refuse(&mut self, which: usize, first: bool, seen: &mut Seen) {
        if !first {
            seen.lost += 1;
            return;
        }
        let wait = self.entries[which].next_turn(self.now, "app");
        let wait = wait.unwrap_or_default().max(MS * 100);
        let after = wait_estimate::jitter(wait, self.rng.random());
        self.returning.push(self.now + after.min(PATIENCE / 3));
    }
}

/// Guards against servers that are full again as soon as they have rested: all
/// that was held back would come at once, and they would hardly serve.
#[rstest]
#[case::one(1, 1)]
#[case::few(4, 3)]
#[case::some(24, 6)]
#[case::many(467, 11)]
fn service_recovers(#[case] entries: usize, #[case] servers: usize) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(entries, servers, seed);
        fleet.play(Duration::from_secs(2), None);
        fleet.play(Duration::from_secs(2), Some(ASKED));
        // What was asked for last ends meanwhile.
        fleet.play(ASKED, None);
        let span = Duration::from_secs(5);
        let seen = fleet.play(span, None);
        let usual = fleet.rate() * span.as_secs_f64();
        let served = f64::from(seen.served);
        assert!(served >= 0.5 * usual, "{seen:?}, usually {usual} calls");
    }
}

/// Guards against all entries coming back in the moment in which a server that
/// asked all of them for rest takes calls again.
#[test]
fn entries_return_one_after_the_other() {
    let mut fleet = Fleet::new(ENTRIES, 1, 1);
    for entry in &mut fleet.entries {
        let drawn = fleet.rng.random();
        entry.apply_feedback(fleet.now, &listed(0), fleet.now, &rest(ASKED), drawn);
    }
    let back = fleet.entries.iter().map(|e| e.next_turn(fleet.now, "app"));
    let back: Vec<Duration> = back.map(|left| left.expect("it rests")).collect();
    assert!(back.iter().all(|left| *left >= ASKED));
    assert!(most_at_once(&back) <= ENTRIES / 4);
}

/// Guards against all callers coming back in one moment that were told so in
/// one.
#[test]
fn callers_return_one_after_the_other() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let back = (0..ENTRIES).map(|_| wait_estimate::jitter(ASKED, rng.random()));
    let back: Vec<Duration> = back.collect();
    assert!(back.iter().all(|left| *left >= ASKED));
    assert!(most_at_once(&back) <= ENTRIES / 4);
}

/// The most of these moments that fall into one tenth of a second.
fn most_at_once(moments: &[Duration]) -> usize {
    let within = |from: Duration| {
        let tenth = from..from + MS * 100;
        moments.iter().filter(|m| tenth.contains(*m)).count()
    };
    moments.iter().map(|m| within(*m)).max().unwrap_or(0)
}

/// Two servers, the first of which has asked for rest.
fn pair(drawn: f64) -> (Balancer, Instant) {
    let (mut balance, now) = (Balancer::new("a"), Instant::now());
    balance.upsert(now, listed(0));
    balance.upsert(now, listed(1));
    balance.apply_feedback(now, &listed(0), now, &rest(ASKED), drawn);
    (balance, now)
}

/// Guards against a rest that ends early: by an answer to a call that was there
/// already, or since the list shows the server once more.
#[rstest]
#[case::soonest(0.0)]
#[case::latest(1.0)]
fn rest_is_kept(#[case] drawn: f64) {
    let (mut balance, now) = pair(drawn);
    balance.call_succeeded("s0");
    balance.apply_feedback(now, &listed(0), now, &ServerFeedback::default(), 0.0);
    balance.upsert(now, listed(0));
    for ms in 0..3000 {
        let now = now + MS * ms;
        let chosen = balance.choose(now, &want(&[])).expect("a server");
        assert_eq!(&*chosen.id, "s1");
        assert!(!balance.take_turn(now, "s0"));
    }
    let end = now + ASKED + ASKED / 4;
    assert!(balance.take_turn(end, "s0"));
}

/// Guards against a shorter rest that is asked for later ending a longer one.
#[test]
fn longer_rest_is_kept() {
    let (mut balance, now) = pair(0.0);
    let later = now + MS * 10;
    balance.apply_feedback(later, &listed(0), now, &rest(MS * 100), 0.0);
    assert!(!balance.take_turn(now + MS * 2900, "s0"));
}

/// Guards against a service being left to nobody since all of its servers rest:
/// the caller is told when the first of them takes calls again.
#[test]
fn first_end_of_all_rests_is_told() {
    let (mut balance, now) = pair(0.0);
    assert_eq!(balance.next_turn(now, "app"), None);
    balance.apply_feedback(now, &listed(1), now, &rest(MS * 500), 0.0);
    assert!(balance.choose(now, &want(&[])).is_none());
    assert_eq!(balance.next_turn(now, "app"), Some(MS * 500));
}

#[test]
fn next_life_does_not_rest() {
    let (mut balance, now) = pair(0.0);
    let again = ServerRecord {
        started_ms: Some(2),
        ..listed(0)
    };
    balance.upsert(now, again);
    assert!(balance.take_turn(now, "s0"));
}

/// Guards against a rest for years, which a service would not survive.
#[test]
fn endless_rest_is_bounded() {
    let (mut balance, now) = pair(0.0);
    for number in [0, 1] {
        balance.apply_feedback(now, &listed(number), now, &rest(Duration::MAX), 1.0);
    }
    let left = balance.next_turn(now, "app").expect("an end");
    assert!(left <= Duration::from_secs(7200));
}

/// Guards against a server that has rested getting several calls before it is
/// known whether it takes one.
#[test]
fn calls_after_a_rest_grow_with_answers() {
    let (mut balance, now) = pair(0.0);
    let back = now + ASKED;
    let send = |balance: &mut Balancer| {
        let taken = balance.take_turn(back, "s0");
        if taken {
            balance.call_sent(back, "s0");
        }
        taken
    };
    assert!(send(&mut balance) && !send(&mut balance));
    balance.call_succeeded("s0");
    balance.call_started("s0");
    balance.call_ended("s0");
    assert!(send(&mut balance) && send(&mut balance) && !send(&mut balance));
}

/// Guards against an engine that has asked for rest being made to send prompts to
/// others.
#[test]
fn resting_server_is_no_source() {
    let (balance, now) = pair(0.0);
    let want = ServerQuery {
        prefix_hash: Some(7),
        ..want(&[])
    };
    let holders = balance.prefix_holders(now, &want);
    assert_eq!(holders.len(), 1);
    assert_eq!(&*holders[0].id, "s1");
    assert_eq!(balance.prefix_holders(now + ASKED, &want).len(), 2);
}
