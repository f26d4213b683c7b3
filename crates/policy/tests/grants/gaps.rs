//! Gaps of streams that are learned from finished ones.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use policy::grants::{CallId, EngineReport, GrantController, GrantDecision, GrantRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

use crate::common::{admit_waiting, granted, id, ms, prompt, refused, stream};

/// Steps that an event of a stream takes.
const EVENT_STEPS: u32 = 5;

/// Steps of a whole stream: 56 events.
const STREAM_STEPS: u32 = 56 * EVENT_STEPS;

/// Longest gap that the streams allow, in milliseconds.
const GAP_MS: u64 = 250;

/// An engine that prefills one chunk in each step, in which all running calls
/// also produce a token.
#[derive(Debug, Clone, Copy)]
struct Chunks {
    /// Tokens prefilled in a step.
    tokens: u32,
    /// Time to prefill a whole chunk.
    full: Duration,
    /// Time of a step without prefill.
    empty: Duration,
}

/// As the engines of klimarchiv.
const LARGE: Chunks = Chunks {
    tokens: 2_048,
    full: Duration::from_millis(50),
    empty: Duration::from_millis(8),
};

const SMALL: Chunks = Chunks {
    tokens: 256,
    full: Duration::from_millis(3),
    empty: Duration::from_millis(6),
};

/// One call in the simulated engine.
#[derive(Debug)]
struct Running {
    id: CallId,
    rank: u8,
    unread: u32,
    steps: u32,
    last_event: Option<Instant>,
    longest: Duration,
}

/// Counts of one kind of call.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    asked: u32,
    served: u32,
    refused: u32,
    late: u32,
}

/// The kinds of calls in the replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    /// Live streams: 715 tokens, 56 events.
    Stream,
    /// Questions: 2,368 tokens, in half a second.
    Question,
    /// Long prompts of which the shared part is cached: 2,890 tokens.
    Cached,
    /// Long prompts away from their home: 9,190 tokens.
    Long,
}

/// Replays 40 s of calls at one engine and counts those of the last 30 s.
fn replay(chunks: Chunks, grants: &mut GrantController, seed: u64) -> HashMap<Kind, Tally> {
    let kinds = [
        (Kind::Stream, 200),
        (Kind::Question, 400),
        (Kind::Cached, 900),
        (Kind::Long, 1_000),
    ];
    let start = Instant::now();
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut due: Vec<Instant> = kinds.iter().map(|_| start).collect();
    let mut calls: HashMap<CallId, (Kind, bool, GrantRequest)> = HashMap::new();
    let mut running: Vec<Running> = Vec::new();
    let mut tallies: HashMap<Kind, Tally> = HashMap::new();
    let mut now = start;
    let mut number = 0;
    while now < start + ms(40_000) {
        let counted = now >= start + ms(10_000);
        for (n, (kind, every)) in kinds.iter().enumerate() {
            while due[n] <= now {
                due[n] += ms(rng.random_range(every / 2..every * 3 / 2));
                number += 1;
                let request = request_of(*kind, number, rng.random_bool(0.5));
                calls.insert(request.id, (*kind, counted, request.clone()));
                let tally = tallies.entry(*kind).or_default();
                tally.asked += u32::from(counted);
                match grants.request(now, request.clone()) {
                    GrantDecision::Granted => running.push(start_call(&request)),
                    GrantDecision::Queued(_) => {}
                    // No other engine has room, so the stream must be taken.
                    GrantDecision::Refused(_) if *kind == Kind::Stream => {
                        tally.refused += u32::from(counted);
                        let forced = GrantRequest {
                            forced: true,
                            ..request.clone()
                        };
                        assert!(granted(grants.request(now, forced)));
                        running.push(start_call(&request));
                    }
                    GrantDecision::Refused(_) => tally.refused += u32::from(counted),
                }
            }
        }
        for id in admit_waiting(grants, now) {
            running.push(start_call(&calls[&id].2));
        }
        for (id, _) in grants.refuse_waiting(now) {
            let (kind, counted, _) = calls[&id];
            tallies.entry(kind).or_default().refused += u32::from(counted);
        }
        now += step(chunks, &mut running);
        for call in &mut running {
            let event = call.unread == 0 && call.steps % EVENT_STEPS == 0;
            if event {
                match call.last_event.replace(now) {
                    None => grants.record_first_event(now, call.id),
                    // Network and relay add some milliseconds.
                    Some(last) => {
                        let jitter = ms(rng.random_range(0..8));
                        call.longest = call.longest.max(now - last + jitter);
                    }
                }
            }
            call.steps += u32::from(call.unread == 0);
        }
        running.retain(|call| {
            let (kind, counted, _) = calls[&call.id];
            let steps = match kind {
                Kind::Stream => STREAM_STEPS,
                _ => 5 * EVENT_STEPS,
            };
            if call.steps <= steps {
                return true;
            }
            grants.call_ended(now, call.id, call.longest);
            let tally = tallies.entry(kind).or_default();
            tally.served += u32::from(counted);
            tally.late += u32::from(counted && kind == Kind::Stream && call.longest > ms(GAP_MS));
            false
        });
    }
    tallies
}

/// A call of one kind.
fn request_of(kind: Kind, number: u32, is_home: bool) -> GrantRequest {
    let with = |tokens, rank, limit| GrantRequest {
        rank,
        ttft_limit: ms(limit),
        is_home,
        slots: 96,
        output_tokens: 25,
        ..prompt(number, tokens)
    };
    match kind {
        Kind::Stream => GrantRequest {
            max_gap: Some(ms(GAP_MS)),
            output_tokens: STREAM_STEPS,
            ..with(715, 1, 300)
        },
        Kind::Question => with(2_368, 4, 500),
        Kind::Cached => with(2_890, 7, 1_500),
        Kind::Long => with(9_190, 7, 1_500),
    }
}

fn start_call(request: &GrantRequest) -> Running {
    Running {
        id: request.id,
        rank: request.rank,
        unread: request.tokens(),
        steps: 0,
        last_event: None,
        longest: Duration::ZERO,
    }
}

/// Prefills one chunk, most urgent prompts first; returns the time it takes.
fn step(chunks: Chunks, running: &mut [Running]) -> Duration {
    running.sort_by_key(|call| (call.rank, call.id));
    let mut budget = chunks.tokens;
    for call in running.iter_mut() {
        let read = call.unread.min(budget);
        call.unread -= read;
        budget -= read;
    }
    let read = f64::from(chunks.tokens - budget) / f64::from(chunks.tokens);
    chunks.empty + chunks.full.mul_f64(read)
}

fn paced() -> GrantController {
    let mut grants = GrantController::default();
    grants.enable_paces();
    grants
}

/// Prompts that are queued, or at home, start beside streams at any length, and
/// an engine with large chunks then makes a fifth of the streams late. With
/// learned gaps at most one in twenty may be late, and the prompts that fit
/// beside streams must still be served.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(6)]
#[case(7)]
#[case(8)]
fn large_chunks_spare_streams(#[case] seed: u64) {
    let before = replay(LARGE, &mut GrantController::default(), seed);
    let late = |tallies: &HashMap<Kind, Tally>| {
        let streams = tallies[&Kind::Stream];
        f64::from(streams.late) / f64::from(streams.served)
    };
    let after = replay(LARGE, &mut paced(), seed);
    assert!(late(&before) >= 0.2, "{before:?}");
    assert!(late(&after) < 0.05, "{after:?}");
    for kind in [Kind::Question, Kind::Cached] {
        let tally = after[&kind];
        assert!(tally.served * 10 >= tally.asked * 9, "{kind:?} {after:?}");
    }
    let streams = after[&Kind::Stream];
    assert!(streams.served * 10 >= streams.asked * 8, "{after:?}");
}

/// On an engine with small chunks, gaps stay short however long the prompts
/// are. With a bound from the prefill time alone, long prompts would be
/// refused there although nothing is gained.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(6)]
#[case(7)]
#[case(8)]
fn small_chunks_admit_long_prompts(#[case] seed: u64) {
    let after = replay(SMALL, &mut paced(), seed);
    let long = after[&Kind::Long];
    assert!(long.served * 10 >= long.asked * 8, "{after:?}");
    let streams = after[&Kind::Stream];
    assert!(streams.late * 20 < streams.served, "{after:?}");
}

/// A controller with a running stream of rank 3 and a maximum gap of 150 ms.
fn beside_stream(now: Instant) -> GrantController {
    let mut grants = paced();
    assert!(granted(grants.request(now, stream(1, 150))));
    grants.record_first_event(now + ms(20), id(1));
    grants
}

/// A prompt that is too long for the streams beside it waits at its home; if
/// it was never answered, its caller would wait until its deadline although
/// other engines are idle.
#[test]
fn overdue_prompt_is_refused() {
    let start = Instant::now();
    let mut grants = beside_stream(start);
    let now = start + ms(400);
    let long = GrantRequest {
        ttft_limit: ms(1_500),
        ..prompt(2, 30_000)
    };
    let decision = grants.request(now, long);
    assert!(matches!(decision, GrantDecision::Queued(_)), "{decision:?}");
    assert!(admit_waiting(&mut grants, now + ms(300)).is_empty());
    assert!(grants.refuse_waiting(now + ms(300)).is_empty());
    // A short prompt behind it does not wait for the streams.
    assert!(matches!(
        grants.request(now + ms(310), prompt(3, 1_000)),
        GrantDecision::Queued(_)
    ));
    assert_eq!(admit_waiting(&mut grants, now + ms(311)), vec![id(3)]);
    let overdue = grants.refuse_waiting(now + ms(1_490));
    assert_eq!(
        overdue.iter().map(|(id, _)| *id).collect::<Vec<_>>(),
        [id(2)]
    );
    assert!(grants.refuse_waiting(now + ms(1_500)).is_empty());
}

/// Streams run at every engine all the time. A prompt that its entry has to
/// place must not wait for them until its caller's deadline.
#[test]
fn forced_prompt_does_not_starve() {
    let start = Instant::now();
    let mut grants = beside_stream(start);
    let now = start + ms(400);
    let long = GrantRequest {
        forced: true,
        ttft_limit: ms(1_500),
        ..prompt(2, 30_000)
    };
    let decision = grants.request(now, long);
    assert!(matches!(decision, GrantDecision::Queued(_)), "{decision:?}");
    assert!(admit_waiting(&mut grants, now + ms(500)).is_empty());
    assert_eq!(admit_waiting(&mut grants, now + ms(1_500)), vec![id(2)]);
}

/// Guards against an urgent prompt that waits for streams being held up by less urgent ones
/// that pass it: each of them is prefilled beside the streams, which are not left alone.
#[rstest]
#[case::few(1_000)]
#[case::many(9_000)]
fn urgent_prompt_held_up_by_passing_ones(#[case] passing_tokens: u32) {
    let start = Instant::now();
    let mut grants = beside_stream(start);
    let urgent = GrantRequest {
        forced: true,
        rank: 4,
        ttft_limit: ms(1_500),
        ..prompt(2, 30_000)
    };
    assert!(matches!(
        grants.request(start + ms(400), urgent),
        GrantDecision::Queued(_)
    ));
    for number in 3..40 {
        let now = start + ms(400 + u64::from(number) * 60);
        grants.request(now, prompt(number, passing_tokens));
        let admitted = admit_waiting(&mut grants, now + ms(1));
        if admitted.contains(&id(2)) {
            return;
        }
        for passed in admitted {
            grants.record_first_event(now + ms(50), passed);
            grants.call_ended(now + ms(55), passed, Duration::ZERO);
        }
    }
    panic!("the urgent prompt was passed for over a second");
}

/// Prompts that are always too long are served where enough streams were in
/// time: otherwise they would never be where streams always run.
#[test]
fn exceptions_serve_long_prompts() {
    let mut now = Instant::now();
    let mut grants = paced();
    let mut served = 0;
    for number in 0..1_000 {
        grants.request(now, stream(2 * number, 150));
        grants.record_first_event(now + ms(10), id(2 * number));
        let long = grants.request(now + ms(300), prompt(2 * number + 1, 30_000));
        served += u32::from(granted(long));
        grants.call_ended(now + ms(310), id(2 * number + 1), Duration::ZERO);
        grants.call_ended(now + ms(900), id(2 * number), ms(60));
        now += ms(1_000);
    }
    assert!((15..=50).contains(&served), "{served}");
}

/// A tier is not held back for a lower one: a prompt yields to streams that
/// are at least as urgent, and starts beside less urgent ones.
#[rstest]
#[case::less_urgent(5, false)]
#[case::equal(3, false)]
#[case::more_urgent(2, true)]
fn prompt_yields_by_rank(#[case] rank: u8, #[case] starts: bool) {
    let now = Instant::now();
    let mut grants = beside_stream(now);
    let long = GrantRequest {
        rank,
        ..prompt(2, 30_000)
    };
    assert_eq!(granted(grants.request(now + ms(400), long)), starts);
}

/// A stream is not placed where its gaps are known to be too long while other
/// engines can take it, but it is admitted where it has to be.
#[test]
fn stream_avoids_slow_engine() {
    let mut now = Instant::now();
    let mut grants = paced();
    for number in 0..40 {
        let request = GrantRequest {
            forced: true,
            ..stream(number, 150)
        };
        grants.request(now, request);
        grants.record_first_event(now + ms(20), id(number));
        grants.call_ended(now + ms(900), id(number), ms(220));
        now += ms(1_000);
    }
    assert!(refused(grants.request(now, stream(100, 150))));
    assert!(granted(grants.request(now, stream(101, 400))));
    let forced = GrantRequest {
        forced: true,
        ..stream(102, 150)
    };
    assert!(granted(grants.request(now, forced)));
    // After a bounded time the engine is tried again.
    let later = now + Duration::from_secs(61);
    assert!(granted(grants.request(later, stream(103, 150))));
}

/// What was learned of an engine says nothing about its next incarnation.
#[test]
fn restart_forgets_gaps() {
    let mut now = Instant::now();
    let mut grants = paced();
    grants.observe_incarnation(Some(1));
    for number in 0..40 {
        grants.request(
            now,
            GrantRequest {
                forced: true,
                ..stream(number, 150)
            },
        );
        grants.record_first_event(now + ms(20), id(number));
        grants.call_ended(now + ms(900), id(number), ms(220));
        now += ms(1_000);
    }
    assert!(refused(grants.request(now, stream(100, 150))));
    grants.observe_incarnation(Some(2));
    assert!(granted(grants.request(now, stream(101, 150))));
}

/// Answers fill the memory after their calls were admitted, and the engine
/// then preempts calls in the middle of their streams.
#[test]
fn answers_to_come_take_memory() {
    let now = Instant::now();
    let report = EngineReport {
        total_tokens: 10_000,
        ..EngineReport::default()
    };
    let call = |number| GrantRequest {
        output_tokens: 2_000,
        time_left: Duration::from_secs(60),
        ..stream(number, 500)
    };
    let mut grants = paced();
    grants.update_report(now, report);
    assert_eq!(grants.free_tokens(now), Some(9_000));
    for number in 0..3 {
        assert!(granted(grants.request(now, call(number))), "{number}");
    }
    assert_eq!(grants.free_tokens(now), Some(1_500));
    assert!(refused(grants.request(now, call(3))));
    for number in 0..3 {
        grants.record_first_event(now, id(number));
    }
    // Nearly all of the answers is still to come.
    let soon = now + ms(100);
    grants.update_report(
        soon,
        EngineReport {
            used_tokens: 3 * 500,
            ..report
        },
    );
    assert!(refused(grants.request(soon, call(5))));
    // The part of the answers that has been produced is in the report.
    let later = now + Duration::from_secs(20);
    let used_tokens = 3 * 1_500;
    grants.update_report(
        later,
        EngineReport {
            used_tokens,
            ..report
        },
    );
    assert!(granted(grants.request(later, call(4))));
}
