//! Streams lost when a tenth of a service's engines crash, without copies and with
//! them. Run with `cargo run -p policy --example backups`.
//!
//! 1,000 live streams run at random engines, through random entries and at random
//! ages. The copies are placed by the entries' own tables, and retries are taken
//! from their budgets. A stream is lost if its engine crashes and it has no copy,
//! nothing of its copy had arrived, the engine with the copy crashed too, or its
//! entry has no retry left.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Tier;
use policy::backup::{CopyPlace, CopyTable, NewStream};
use policy::balance::{Balancer, CopyQuery, ServerRecord};
use policy::rendezvous::hash_name;
use policy::repeat_budget::{RepeatBudget, RepeatLimit};
use policy::routes::Engine;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STREAMS: usize = 1_000;

/// Simulated crashes; the results are means over them.
const CRASHES: u64 = 200;

/// How long a live stream runs: 56 events of some 36 ms.
const STREAM_TIME: Duration = Duration::from_secs(2);

const PROMPT_TOKENS: u32 = 715;
const ANSWER_TOKENS: u32 = 280;

/// Calls of an entry within the window of the retry budget, for each of its
/// running streams: the window is 10 s, five times as long as a stream.
const CALLS_PER_STREAM: usize = 5;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// The engines and entries of one deployment.
struct Deployment {
    name: &'static str,
    engines: usize,
    memory_tokens: u64,
    entries: usize,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "klimarchiv",
        engines: 55,
        memory_tokens: 213_031,
        entries: 30,
    },
    Deployment {
        name: "ikambi",
        engines: 48,
        memory_tokens: 371_228,
        entries: 26,
    },
];

/// Which engines crash.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// A tenth of all engines at random.
    Anywhere,
    /// As many engines of one zone.
    OneZone,
}

/// Sums over all simulated crashes.
#[derive(Debug, Default)]
struct Totals {
    broken: usize,
    no_copy: usize,
    not_arrived: usize,
    both_crashed: usize,
    no_retry: usize,
    copied_tokens: u64,
    most_held: u64,
}

fn main() {
    println!(
        "{:<11} {:<9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>10} {:>9}",
        "deployment",
        "failure",
        "first_ms",
        "without",
        "with",
        "no_copy",
        "early",
        "both",
        "retries",
        "copied",
        "most_held"
    );
    for deployment in &DEPLOYMENTS {
        for failure in [Failure::Anywhere, Failure::OneZone] {
            for first_part in [Duration::ZERO, Duration::from_millis(100)] {
                print_row(deployment, failure, first_part);
            }
        }
    }
}

/// Prints the means for copies of which the first part arrives `first_part` after
/// the stream has begun.
fn print_row(deployment: &Deployment, failure: Failure, first_part: Duration) {
    let mut totals = Totals::default();
    for seed in 0..CRASHES {
        simulate(deployment, failure, first_part, seed, &mut totals);
    }
    let mean = |sum: usize| sum as f64 / CRASHES as f64;
    let lost = totals.no_copy + totals.not_arrived + totals.both_crashed + totals.no_retry;
    println!(
        "{:<11} {:<9} {:>9} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>10.0} {:>9}",
        deployment.name,
        format!("{failure:?}"),
        first_part.as_millis(),
        mean(totals.broken),
        mean(lost),
        mean(totals.no_copy),
        mean(totals.not_arrived),
        mean(totals.both_crashed),
        mean(totals.no_retry),
        totals.copied_tokens as f64 / CRASHES as f64,
        totals.most_held
    );
}

/// One stream at the time of the crash.
struct Running {
    entry: usize,
    engine: usize,
    age: Duration,
    copy: Option<CopyPlace>,
}

fn simulate(
    deployment: &Deployment,
    failure: Failure,
    first_part: Duration,
    seed: u64,
    totals: &mut Totals,
) {
    let now = Instant::now();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let engines: Vec<ServerRecord> = (0..deployment.engines).map(record).collect();
    let mut balancer = Balancer::new("a");
    for engine in &engines {
        balancer.upsert(now, engine.clone());
    }
    let mut tables = Vec::new();
    for entry in 0..deployment.entries {
        let mut table = CopyTable::new(&format!("entry-{entry}"));
        table.set_entries(deployment.entries);
        tables.push(table);
    }
    let declared = Engine {
        slots: 96,
        memory_tokens: deployment.memory_tokens,
        event_tokens: 5,
        copy_time: None,
        moves: false,
        backups: true,
    };
    let stream = NewStream {
        prompt_tokens: PROMPT_TOKENS,
        answer_tokens: ANSWER_TOKENS,
        tier: Tier(0),
        time_left: Duration::from_secs(8),
    };
    assert!(stream.is_worth_copy(&declared), "live streams get copies");

    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let entry = rng.random_range(0..deployment.entries);
        let engine = rng.random_range(0..deployment.engines);
        let query = CopyQuery {
            source: &engines[engine],
            stream: hash_name(&format!("{seed}-{number}")),
            silence_timeout: Duration::from_millis(900),
        };
        let hosts = balancer.copy_hosts(now, &query);
        let copy = tables[entry].reserve(now, &stream, &declared, &hosts, |_| None);
        let age = STREAM_TIME.mul_f64(rng.random());
        streams.push(Running {
            entry,
            engine,
            age,
            copy,
        });
    }

    let mut held: BTreeMap<&str, u64> = BTreeMap::new();
    for copy in streams.iter().filter_map(|s| s.copy.as_ref()) {
        *held.entry(&copy.server.id).or_default() += copy.tokens;
    }
    let most = held.into_values().max().unwrap_or(0);
    totals.most_held = totals.most_held.max(most);

    let crashed = crashed_engines(&engines, failure, &mut rng);
    let mut budgets = retry_budgets(now, deployment, &streams);
    let service = Rc::from("llm");
    for stream in &streams {
        if stream.copy.is_some() && stream.age >= first_part {
            let made = stream.age.as_secs_f64() / STREAM_TIME.as_secs_f64();
            let made = (f64::from(ANSWER_TOKENS) * made) as u64;
            totals.copied_tokens += u64::from(PROMPT_TOKENS) + made;
        }
        if !crashed.contains(&stream.engine) {
            continue;
        }
        totals.broken += 1;
        let is_lost = |copy: &CopyPlace| crashed.iter().any(|c| engines[*c].id == copy.server.id);
        match &stream.copy {
            None => totals.no_copy += 1,
            Some(_) if stream.age < first_part => totals.not_arrived += 1,
            Some(copy) if is_lost(copy) => totals.both_crashed += 1,
            Some(_) if !budgets[stream.entry].take_repeat(now, &service) => totals.no_retry += 1,
            Some(_) => {}
        }
    }
}

/// The retry budgets of all entries after the calls of their window.
fn retry_budgets(now: Instant, deployment: &Deployment, streams: &[Running]) -> Vec<RepeatBudget> {
    let service = Rc::from("llm");
    let limit = RepeatLimit {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 0.0,
    };
    let mut budgets: Vec<RepeatBudget> = (0..deployment.entries)
        .map(|_| RepeatBudget::new(now, limit))
        .collect();
    for stream in streams {
        for _ in 0..CALLS_PER_STREAM {
            budgets[stream.entry].record_call(now, &service);
        }
    }
    budgets
}

fn crashed_engines(engines: &[ServerRecord], failure: Failure, rng: &mut Pcg64Mcg) -> Vec<usize> {
    let count = engines.len().div_ceil(10);
    let zone = ZONES[rng.random_range(0..ZONES.len())];
    let mut crashed = Vec::new();
    while crashed.len() < count {
        let engine = rng.random_range(0..engines.len());
        let affected = match failure {
            Failure::Anywhere => true,
            Failure::OneZone => *engines[engine].zone == *zone,
        };
        if affected && !crashed.contains(&engine) {
            crashed.push(engine);
        }
    }
    crashed
}

fn record(number: usize) -> ServerRecord {
    let [high, low] = u16::try_from(number).expect("a small number").to_be_bytes();
    ServerRecord {
        id: Rc::from(format!("engine-{number}")),
        service: Rc::from("llm"),
        addr: SocketAddr::from(([10, 0, high, low], 8080)),
        zone: Rc::from(ZONES[number % ZONES.len()]),
        slots: 96,
        leaving: false,
        started_ms: None,
        version: Rc::default(),
    }
}
