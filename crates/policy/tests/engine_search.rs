//! Which engines a call asks, and which times of sidecars count.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::ServerRecord;
use policy::engine_search::{AdmissionTerms, EngineSearch, EngineWaits};
use rstest::rstest;

fn engines(count: u32) -> Vec<ServerRecord> {
    let engine = |n: u32| ServerRecord {
        id: Rc::from(format!("i-{n}")),
        service: Rc::from("llm"),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: Rc::from("a"),
        slots: 8,
        leaving: false,
        started_ms: None,
        version: Rc::default(),
    };
    (0..count).map(engine).collect()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Asks until the search is over, with every engine refusing the call; returns their ids.
fn all_asked(waits: &EngineWaits, now: Instant, high_tier: bool) -> Vec<String> {
    let engines = engines(20);
    let mut search = EngineSearch::new(engines[..3].to_vec(), high_tier);
    while let Some((engine, _)) = search.next_preferred() {
        search.refused(&engine, ms(900));
    }
    while let Some(engine) = search.next_further(now, waits, 4, &engines) {
        search.refused(&engine, ms(900));
    }
    search.asked().iter().map(|s| s.id.to_string()).collect()
}

/// Guards against refusing an urgent call after its first engines, and against spreading
/// the prefixes of less urgent calls over more engines.
#[rstest]
#[case::high_tier(true, 9)]
#[case::low_tier(false, 3)]
fn further_engines(#[case] high_tier: bool, #[case] asked: usize) {
    let waits = EngineWaits::default();
    assert_eq!(all_asked(&waits, Instant::now(), high_tier).len(), asked);
}

/// Guards against asking engines at random while one is known that takes the call sooner.
#[test]
fn known_engine_asked_before_others() {
    let now = Instant::now();
    let mut waits = EngineWaits::default();
    waits.record(now, &Rc::from("i-17"), 5, ms(300));
    waits.record(now, &Rc::from("i-12"), 4, ms(100));
    // The search has been told 900 ms, which this engine does not improve on.
    waits.record(now, &Rc::from("i-9"), 4, ms(2_000));
    assert_eq!(
        all_asked(&waits, now, true)[3..],
        ["i-12", "i-17", "i-3", "i-4", "i-5", "i-6"]
    );
}

/// Guards against taking the times of more urgent calls, or old ones, for those of a call.
#[rstest]
#[case::same_rank(4, 0, Some(200))]
#[case::less_urgent(5, 0, Some(200))]
#[case::more_urgent(3, 0, None)]
#[case::old(4, 1_000, None)]
fn times_that_count(#[case] rank: u8, #[case] age: u64, #[case] expected: Option<u64>) {
    let now = Instant::now();
    let mut waits = EngineWaits::default();
    waits.record(now, &Rc::from("i-1"), rank, ms(200));
    assert_eq!(waits.expected(now + ms(age), "i-1", 4), expected.map(ms));
}

/// Guards against keeping the times of engines for ever.
#[test]
fn expired_times_dropped() {
    let now = Instant::now();
    let mut waits = EngineWaits::default();
    for n in 0..10_000 {
        waits.record(now + ms(n), &Rc::from(format!("i-{n}")), 4, ms(1));
    }
    assert!(waits.engine_count() < 1_000, "{}", waits.engine_count());
}

/// The home of a prompt's prefix is asked as such, all others as spill.
#[test]
fn first_engine_is_home() {
    let mut search = EngineSearch::new(engines(2), true);
    let terms: Vec<AdmissionTerms> =
        std::iter::from_fn(|| search.next_preferred().map(|(_, terms)| terms)).collect();
    assert_eq!(terms, [AdmissionTerms::Home, AdmissionTerms::Spill]);
}
