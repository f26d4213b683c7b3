//! Small engines under kinds of calls of several tiers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use policy::grants::{CallId, GrantController, GrantDecision, GrantRequest};

use crate::common::{Outcome, TARGET, granted, id, let_in, ms, prompt, stream};

/// A small engine: eight slots, held for a while after the first event.
struct Small {
    /// Prompts in flight with their tokens left, in the order of reading.
    reading: VecDeque<(CallId, f64)>,
    /// Calls that write, with when they end.
    writing: Vec<(CallId, Instant)>,
    hold: Duration,
    rate: f64,
    /// Most calls that it ran at once.
    most: usize,
}

impl Small {
    fn new(rate: f64, hold: Duration) -> Self {
        Self {
            reading: VecDeque::new(),
            writing: Vec::new(),
            hold,
            rate,
            most: 0,
        }
    }

    fn take(&mut self, id: CallId, tokens: f64) {
        self.reading.push_back((id, tokens));
        self.most = self.most.max(self.reading.len() + self.writing.len());
    }

    /// Runs for a millisecond; returns the calls that have their first event.
    fn step(&mut self, now: Instant, grants: &mut GrantController) -> Vec<CallId> {
        let ended = |(_, until): &mut (CallId, Instant)| *until <= now;
        for (id, _) in self.writing.extract_if(.., ended) {
            grants.call_ended(now, id, Duration::ZERO);
        }
        let mut room = self.rate;
        let mut begun = Vec::new();
        while let Some((id, left)) = self.reading.front_mut() {
            *left -= room;
            if *left > 0.0 {
                break;
            }
            room = -*left;
            begun.push(*id);
            grants.record_first_event(now, *id);
            self.writing.push((*id, now + self.hold));
            self.reading.pop_front();
        }
        begun
    }
}

/// Calls of one kind that come every so many milliseconds.
#[derive(Clone, Copy)]
struct Kind {
    every: u64,
    tokens: u32,
    rank: u8,
    allowed: Duration,
    target: Duration,
}

/// Lets calls of several kinds come for ten seconds at an engine of eight
/// slots; returns what became of each kind, and most calls at once.
fn bursts(kinds: &[Kind], grants: &mut GrantController, hold: Duration) -> (Vec<Outcome>, usize) {
    let start = Instant::now();
    let mut engine = Small::new(150.0, hold);
    let mut outcomes: Vec<Outcome> = kinds.iter().map(|_| Outcome::default()).collect();
    let mut asked = std::collections::HashMap::new();
    let mut number = 0;
    for t in 0..10_000 {
        let now = start + ms(t);
        for (k, kind) in kinds.iter().enumerate().filter(|(_, k)| t % k.every == 0) {
            number += 1;
            let ask = GrantRequest {
                ttft_limit: kind.allowed,
                rank: kind.rank,
                slots: 8,
                ..prompt(number, kind.tokens)
            };
            asked.insert(ask.id, (k, now));
            match grants.request(now, ask) {
                GrantDecision::Granted => engine.take(id(number), f64::from(kind.tokens)),
                GrantDecision::Queued(_) => {}
                GrantDecision::Refused(_) => outcomes[k].refused += 1,
            }
        }
        for id in engine.step(now, grants) {
            let (k, at) = asked[&id];
            match now.duration_since(at) <= kinds[k].target {
                true => outcomes[k].in_time += 1,
                false => outcomes[k].late += 1,
            }
        }
        for id in let_in(grants, now) {
            engine.take(id, f64::from(kinds[asked[&id].0].tokens));
        }
    }
    (outcomes, engine.most)
}

/// Dossiers, two thirds more than eight slots take where each is held for a
/// quarter of a second.
const DOSSIERS: Kind = Kind {
    every: 18,
    tokens: 3_000,
    rank: 8,
    allowed: Duration::from_millis(400),
    target: TARGET,
};

/// Short questions of a higher tier, with a third of the target.
const QUESTIONS: Kind = Kind {
    every: 70,
    tokens: 1_800,
    rank: 7,
    allowed: Duration::from_millis(125),
    target: Duration::from_millis(250),
};

/// No stream comes to an engine of eight slots while calls are turned away. A
/// slot that is kept for one stands idle, an eighth of what the engine can do.
#[test]
fn no_slot_is_kept_where_no_stream_comes() {
    let mut grants = GrantController::default();
    let (outcomes, most) = bursts(&[DOSSIERS], &mut grants, ms(250));
    assert!(outcomes[0].refused > 0, "{outcomes:?}");
    assert_eq!(most, 8);
}

/// Streams that hold their slots for seconds come often. They are never kept
/// waiting, so the calls that only read have to leave them some.
#[test]
fn slots_are_kept_where_streams_come() {
    let now = Instant::now();
    let mut grants = GrantController::default();
    // Six a second, each for two seconds: twelve at once, of sixteen slots.
    let every = ms(166);
    for n in 0..60 {
        let at = now + every * n;
        let ask = GrantRequest {
            slots: 16,
            ..stream(n, 150)
        };
        assert!(granted(grants.request(at, ask)), "stream {n}");
        grants.record_first_event(at, id(n));
        if n >= 12 {
            grants.call_ended(at, id(n - 12), Duration::ZERO);
        }
    }
    let at = now + every * 60;
    for n in 48..60 {
        grants.call_ended(at, id(n), Duration::ZERO);
    }
    let mut taken = 0;
    for n in 100..116 {
        let ask = GrantRequest {
            slots: 16,
            ..prompt(n, 1)
        };
        if granted(grants.request(at, ask)) {
            taken += 1;
            grants.record_first_event(at, id(n));
        }
    }
    assert!((1..16).contains(&taken), "{taken}");
}

/// Dossiers come faster than the engine takes them, and questions of a higher
/// tier among them. In one line by due times the questions wait behind the
/// dossiers and come late; they have to be served as if there were none.
#[test]
fn higher_tier_keeps_its_service() {
    let mut grants = GrantController::default();
    let (outcomes, _) = bursts(&[DOSSIERS, QUESTIONS], &mut grants, ms(250));
    let questions = &outcomes[1];
    let all = questions.in_time + questions.late + questions.refused;
    assert!(questions.in_time * 100 >= all * 95, "{outcomes:?}");
}

/// The same burst, as the dossiers see it: those that are let wait must not
/// come late, or they have taken slots from others that would have been in
/// time. What goes before them later is not in the queue yet when they come.
#[test]
fn lower_tier_waits_no_longer_than_its_target() {
    let mut grants = GrantController::default();
    let (outcomes, _) = bursts(&[DOSSIERS, QUESTIONS], &mut grants, ms(250));
    let dossiers = &outcomes[0];
    let served = dossiers.in_time + dossiers.late;
    assert!(dossiers.in_time * 100 >= served * 95, "{outcomes:?}");
    // Eight slots for ten seconds, each call 0.25 s and its reading.
    let most = 8.0 * 10.0 / 0.28;
    let all = served + outcomes[1].in_time + outcomes[1].late;
    assert!(f64::from(all) >= most * 0.9, "{outcomes:?} of {most}");
}
