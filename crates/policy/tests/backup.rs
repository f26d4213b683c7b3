//! Which streams get a copy at a second engine, and at which one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Tier;
use policy::backup::{CopyTable, LINGER, MEMORY_SHARE, NewStream};
use policy::balance::{Balancer, CopyQuery, ServerFeedback, ServerRecord};
use policy::rendezvous::hash_name;
use policy::routes::Engine;
use rstest::rstest;

const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

const ENGINES: usize = 55;

/// The engines of klimarchiv.
fn engine() -> Engine {
    Engine {
        slots: 96,
        memory_tokens: 213_031,
        event_tokens: 5,
        copy_time: None,
        moves: false,
        backups: true,
    }
}

/// A live stream of klimarchiv.
fn live() -> NewStream {
    NewStream {
        prompt_tokens: 715,
        answer_tokens: 280,
        tier: Tier(0),
        time_left: Duration::from_secs(8),
    }
}

fn record(number: usize, zone: &str) -> ServerRecord {
    let [high, low] = u16::try_from(number).expect("a small number").to_be_bytes();
    ServerRecord {
        id: Rc::from(format!("s{number}")),
        service: Rc::from("llm"),
        addr: SocketAddr::from(([127, 0, high, low], 80)),
        zone: Rc::from(zone),
        slots: 96,
        leaving: false,
        started_ms: None,
        version: Rc::default(),
    }
}

/// Engines in turn in these zones.
fn balancer(now: Instant, zones: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("a");
    for number in 0..ENGINES {
        balancer.upsert(now, record(number, zones[number % zones.len()]));
    }
    balancer
}

fn query(source: &ServerRecord, stream: u64) -> CopyQuery<'_> {
    CopyQuery {
        source,
        stream,
        silence_timeout: SILENCE_TIMEOUT,
    }
}

fn table(name: &str, entries: usize) -> CopyTable {
    let mut table = CopyTable::new(name);
    table.set_entries(entries);
    table
}

/// Copies of streams that gain little, or that arrive too late to be of use,
/// would take links and memory from those that need them.
#[rstest]
#[case::live(live(), true)]
#[case::lower_tier(NewStream { tier: Tier(2), ..live() }, true)]
#[case::long_prompt(NewStream { prompt_tokens: 9_190, answer_tokens: 50, ..live() }, false)]
#[case::most_copied(NewStream { prompt_tokens: 1_960, ..live() }, true)]
#[case::too_much_copied(NewStream { prompt_tokens: 1_961, ..live() }, false)]
#[case::short_answer(NewStream { prompt_tokens: 10, answer_tokens: 63, ..live() }, false)]
#[case::unknown_answer(NewStream { answer_tokens: 0, ..live() }, false)]
#[case::unknown_prompt(NewStream { prompt_tokens: 0, ..live() }, false)]
#[case::little_time(NewStream { time_left: Duration::from_millis(999), ..live() }, false)]
#[case::largest(NewStream { prompt_tokens: u32::MAX, answer_tokens: u32::MAX, ..live() }, true)]
fn copy_only_where_worth_its_cost(#[case] stream: NewStream, #[case] worth: bool) {
    assert_eq!(stream.is_worth_copy(&engine()), worth);
}

/// Engines that do not declare backups ignore the request for one, or reject the
/// call.
#[test]
fn undeclared_engine_gets_no_copies() {
    let undeclared = Engine {
        backups: false,
        ..engine()
    };
    assert!(!live().is_worth_copy(&undeclared));
}

/// Over a slow link the copy stays behind its stream and delays the prompts that
/// engines fetch from each other.
#[rstest]
#[case::fast(21, true)]
#[case::slow(2_100, false)]
fn slow_link_gets_no_copies(#[case] micros: u64, #[case] worth: bool) {
    let engine = Engine {
        copy_time: Some(Duration::from_micros(micros)),
        ..engine()
    };
    assert_eq!(live().is_worth_copy(&engine), worth);
}

/// If the copies of one engine's streams were all at one other engine, its crash
/// would send them all there at once.
#[test]
fn copies_of_one_engine_spread() {
    let now = Instant::now();
    let balancer = balancer(now, &["a", "b", "c"]);
    let source = record(0, "a");
    let mut counts: BTreeMap<Rc<str>, usize> = BTreeMap::new();
    for stream in 0..2_000 {
        let hosts = balancer.copy_hosts(now, &query(&source, hash_name(&stream.to_string())));
        *counts.entry(Rc::clone(&hosts[0].id)).or_default() += 1;
    }
    assert!(!counts.contains_key(&source.id));
    // 36 engines in the other zones, 55.6 copies each on average.
    assert_eq!(counts.len(), 36);
    let most = counts.values().max().expect("some counts");
    assert!(*most < 90, "{most} copies at one engine");
}

/// Engines of one zone fail together, so that a copy in the same zone is lost with
/// its stream. A single zone must not leave streams without copies.
#[test]
fn other_zone_preferred() {
    let now = Instant::now();
    let source = record(0, "a");
    let mixed = balancer(now, &["a", "a", "a", "b"]);
    let single = balancer(now, &["a"]);
    for stream in 0..200 {
        let query = query(&source, hash_name(&stream.to_string()));
        let hosts = mixed.copy_hosts(now, &query);
        assert_eq!(hosts.len(), ENGINES - 1);
        let first_own = hosts.iter().position(|h| &*h.zone == "a");
        assert_eq!(first_own, Some(13));
        assert_eq!(single.copy_hosts(now, &query).len(), ENGINES - 1);
    }
}

/// All entries, and one entry at any time, must rank equally. A choice that
/// depended on the order of a hash table could not be repeated or explained.
#[test]
fn ranking_is_repeatable() {
    let now = Instant::now();
    let (one, other) = (balancer(now, &["a", "b"]), balancer(now, &["a", "b"]));
    let source = record(3, "b");
    for stream in 0..50 {
        let query = query(&source, stream);
        assert_eq!(one.copy_hosts(now, &query), other.copy_hosts(now, &query));
    }
}

/// A copy at an engine that leaves, rests, is silent, has failed, or has the
/// address of the stream's own engine could not be used.
#[rstest]
#[case::itself(|_: &mut Balancer, _: Instant| {}, 0)]
#[case::leaving_by_list(|b: &mut Balancer, now| {
    b.upsert(now, ServerRecord { leaving: true, ..record(7, "b") });
}, 7)]
#[case::leaving_by_feedback(|b: &mut Balancer, now| {
    let feedback = ServerFeedback { leaving: true, ..ServerFeedback::default() };
    b.apply_feedback(now, &record(7, "b"), now, &feedback, 0.0);
}, 7)]
#[case::backing_off(|b: &mut Balancer, now| {
    let backoff = Some(Duration::from_secs(5));
    let feedback = ServerFeedback { backoff, ..ServerFeedback::default() };
    b.apply_feedback(now, &record(7, "b"), now, &feedback, 0.0);
}, 7)]
#[case::limited(|b: &mut Balancer, now| {
    let rate_limit = Some(2.0);
    let feedback = ServerFeedback { rate_limit, ..ServerFeedback::default() };
    b.apply_feedback(now, &record(7, "b"), now, &feedback, 0.0);
}, 7)]
#[case::missing(|b: &mut Balancer, now| {
    b.mark_missing(now, "s7", now + Duration::from_secs(5));
}, 7)]
#[case::silent(|b: &mut Balancer, now| b.call_sent(now, "s7"), 7)]
#[case::unreachable(|b: &mut Balancer, now| {
    for _ in 0..3 {
        b.connect_failed(now + SILENCE_TIMEOUT, "s7");
    }
}, 7)]
#[case::same_address(|b: &mut Balancer, now| {
    b.upsert(now, ServerRecord { addr: record(0, "a").addr, ..record(7, "b") });
}, 7)]
fn unusable_engine_holds_no_copy(
    #[case] change: fn(&mut Balancer, Instant),
    #[case] unusable: usize,
) {
    let now = Instant::now();
    let mut balancer = balancer(now, &["a", "b"]);
    change(&mut balancer, now);
    let source = record(0, "a");
    let hosts = balancer.copy_hosts(now + SILENCE_TIMEOUT, &query(&source, 1));
    let unusable = format!("s{unusable}");
    assert!(hosts.iter().all(|h| *h.id != *unusable));
    assert!(hosts.len() >= ENGINES - 2);
}

/// A restarted engine has no copies. Asked under its old name it would refuse,
/// and under its new one it would run the call a second time.
#[rstest]
#[case::same(None, 80, true)]
#[case::restarted(Some(5), 80, false)]
#[case::other_address(None, 81, false)]
fn restarted_engine_is_not_current(
    #[case] started_ms: Option<u64>,
    #[case] port: u16,
    #[case] current: bool,
) {
    let now = Instant::now();
    let mut balancer = balancer(now, &["a", "b"]);
    let held = record(7, "b");
    let mut listed = held.clone();
    listed.started_ms = started_ms;
    listed.addr.set_port(port);
    balancer.upsert(now, listed);
    assert_eq!(balancer.is_current(now, &held), current);
}

/// While the store is unavailable, the list loses live engines. A stream must still
/// continue there for as long as they may be called.
#[test]
fn missing_engine_is_current_for_a_moment() {
    let now = Instant::now();
    let mut balancer = balancer(now, &["a", "b"]);
    let until = now + Duration::from_secs(2);
    balancer.mark_missing(now, "s7", until);
    assert!(balancer.is_current(now, &record(7, "b")));
    assert!(!balancer.is_current(until, &record(7, "b")));
}

/// All entries together must not fill an engine's KV cache with copies, or its own
/// calls would be refused.
#[rstest]
#[case::one_entry(1)]
#[case::klimarchiv(30)]
fn engine_holds_bounded_copies(#[case] entries: usize) {
    let now = Instant::now();
    let balancer = balancer(now, &["a", "b", "c"]);
    let mut totals: BTreeMap<Rc<str>, u64> = BTreeMap::new();
    let mut placed = 0;
    for entry in 0..entries {
        let mut table = table(&format!("e{entry}"), entries);
        for stream in 0..12_000 / entries {
            let source = record(stream % ENGINES, ["a", "b", "c"][stream % ENGINES % 3]);
            let key = hash_name(&format!("{entry}-{stream}"));
            let hosts = balancer.copy_hosts(now, &query(&source, key));
            let place = table.reserve(now, &live(), &engine(), &hosts, |_| None);
            if let Some(place) = place {
                placed += 1;
                *totals.entry(place.server.id).or_default() += place.tokens;
            }
        }
    }
    let bound = (engine().memory_tokens as f64 * MEMORY_SHARE) as u64;
    assert!(totals.values().all(|t| *t <= bound), "{totals:?}");
    // The bound must not keep copies from streams that fit: 1,000 run at once.
    assert!(placed >= 1_000, "{placed} copies");
}

/// With many entries, an equal part of each engine is smaller than one copy. No
/// stream would have one, although the memory is free.
#[test]
fn many_entries_still_place_copies() {
    let now = Instant::now();
    let balancer = balancer(now, &["a", "b", "c"]);
    let entries = 1_000;
    let mut totals: BTreeMap<Rc<str>, u64> = BTreeMap::new();
    let mut placed = 0;
    for entry in 0..entries {
        let mut table = table(&format!("e{entry}"), entries);
        for stream in 0..5 {
            let source = record(stream, ["a", "b", "c"][stream % 3]);
            let hosts = balancer.copy_hosts(
                now,
                &query(&source, hash_name(&format!("{entry}-{stream}"))),
            );
            if let Some(place) = table.reserve(now, &live(), &engine(), &hosts, |_| None) {
                placed += 1;
                *totals.entry(place.server.id).or_default() += place.tokens;
            }
        }
    }
    assert!(placed >= 1_000, "{placed} copies");
    let most = totals.values().max().expect("some copies");
    let memory = engine().memory_tokens;
    assert!(most * 2 < memory, "{most} of {memory} tokens are copies");
}

/// A lower tier must not take the last room of a higher one.
#[test]
fn higher_tier_keeps_room() {
    let now = Instant::now();
    let balancer = balancer(now, &["a", "b"]);
    let mut table = table("e", 1);
    let source = record(0, "a");
    let place_all = |table: &mut CopyTable, tier: u8| {
        let stream = NewStream {
            tier: Tier(tier),
            ..live()
        };
        let mut placed = 0;
        for key in 0..10_000 {
            let hosts = balancer.copy_hosts(now, &query(&source, key));
            if table
                .reserve(now, &stream, &engine(), &hosts, |_| None)
                .is_none()
            {
                break;
            }
            placed += 1;
        }
        placed
    };
    let low = place_all(&mut table, 2);
    let middle = place_all(&mut table, 1);
    let high = place_all(&mut table, 0);
    // 13, 26 and 53 copies fit into the share of a tier at each engine.
    assert_eq!([low, middle, high], [13 * 54, 13 * 54, 27 * 54]);
    assert_eq!(place_all(&mut table, 2), 0);
}

/// An engine without free memory drops the copy or refuses calls of its own.
#[test]
fn full_engine_passed_over() {
    let now = Instant::now();
    let balancer = balancer(now, &["a", "b"]);
    let mut table = table("e", 1);
    let source = record(0, "a");
    for key in 0..200 {
        let hosts = balancer.copy_hosts(now, &query(&source, key));
        let free = |server: &ServerRecord| (*server.id != *"s9").then_some(994);
        let place = table.reserve(now, &live(), &engine(), &hosts, free);
        assert!(place.is_none_or(|p| *p.server.id == *"s9"));
    }
}

/// An entry that does not know how many entries share the engines could fill them
/// alone.
#[test]
fn no_copies_before_entries_are_counted() {
    let now = Instant::now();
    let balancer = balancer(now, &["a", "b"]);
    let mut table = table("e", 0);
    let source = record(0, "a");
    let hosts = balancer.copy_hosts(now, &query(&source, 1));
    let place = table.reserve(now, &live(), &engine(), &hosts, |_| None);
    assert_eq!(place, None);
}

/// A copy that is counted for too long takes room from others, and one that is
/// counted for too short a time lets an engine fill up: it keeps the copies of
/// streams that did not end successfully.
#[rstest]
#[case::ended(true, 0)]
#[case::broken(false, 995)]
fn copy_counted_while_held(#[case] freed: bool, #[case] counted: u64) {
    let now = Instant::now();
    let balancer = balancer(now, &["a", "b"]);
    let mut table = table("e", 1);
    let source = record(0, "a");
    let hosts = balancer.copy_hosts(now, &query(&source, 1));
    let place = table.reserve(now, &live(), &engine(), &hosts, |_| None);
    let place = place.expect("a copy");
    let id = Rc::clone(&place.server.id);
    assert_eq!(table.held_tokens(&id), 995);
    table.release(now, &place, freed);
    assert_eq!(table.held_tokens(&id), counted);
    // Any later use of the table drops expired counts.
    let other = table.reserve(now + LINGER, &live(), &engine(), &hosts[1..], |_| None);
    assert!(other.is_some_and(|p| p.server.id != id));
    assert_eq!(table.held_tokens(&id), 0);
}
