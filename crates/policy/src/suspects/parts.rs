//! Finds the part of a prompt under which servers crash.
//!
//! Requests that crash servers may have nothing but one part of their prompts in
//! common. Each crash is evidence against all parts of the calls that the server was
//! running. A part is accused once [`CRASH_LIMIT`] servers have crashed one after
//! the other: each time under a call that was sent after the previous crash. Servers
//! that are lost at the same time, such as those of a rack, therefore count once.
//!
//! A server that goes on writing its answer shows that all parts of the prompt are
//! sound, which voids all evidence against them from calls that were sent before. A
//! part that was ever known to be sound is accused only after [`KNOWN_LIMIT`] crashes:
//! while servers crash all the time, hardly any call is answered.
//!
//! Of several parts that explain the same crashes, the one with the fewest calls is
//! accused, and calls whose answers had just begun when the server crashed count
//! before the others. A request is refused if it has all parts that cannot be told
//! apart, so that a request with only some of them runs and tells them apart. See
//! docs/DECISIONS/0607-crashing-requests.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use super::{CRASH_LIMIT, Crash, CrashReport, to_ms};
use crate::rendezvous;

/// Time in milliseconds since the first event; negative before it.
pub(super) type TimeMs = i64;

/// [`CRASH_LIMIT`] for a part that was known to be sound before.
const KNOWN_LIMIT: usize = 4;

/// Separate crashes from which on an entry that knows a part to be sound tells the
/// others. It is less than [`CRASH_LIMIT`], so that they know in time.
const CONTEST_LIMIT: usize = CRASH_LIMIT - 1;

/// Shortest time from sending a call to a crash that the call may have caused. A call
/// that is sent to a server that has crashed before fails at once.
const MIN_RUN_MS: TimeMs = 10;

/// Maximum number of calls that are kept as evidence against one part, the latest ones.
const MAX_EVIDENCE: usize = 128;

/// Maximum number of parts that are known to be sound, about 50 bytes each.
const MAX_SOUND: usize = 1 << 13;

/// Times after a part was accused at which one request with it may be sent again, to
/// find out whether it is sound or the servers were fixed.
const TRIAL_DELAYS_MS: [TimeMs; 3] = [5_000, 60_000, 600_000];

/// This entry's place among all entries, which take turns at trials.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialTurn {
    /// Number of entries.
    pub entries: u32,
    /// Position of this entry, from 0.
    pub index: u32,
}

/// A call that was running at a server that crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Evidence {
    crash: Crash,
    sent_ms: TimeMs,
    crashed_ms: TimeMs,
    /// Whether the answer had just begun.
    just_began: bool,
}

/// The evidence against one part.
#[derive(Debug, Default)]
struct PartEvidence {
    calls: Vec<Evidence>,
}

/// When a part was last known to be sound.
#[derive(Debug, Clone, Copy, Default)]
struct Sound {
    /// As seen by this entry.
    own_ms: Option<TimeMs>,
    /// As known to all entries.
    shared_ms: Option<TimeMs>,
}

/// Parts that explain the same crashes and that no request has told apart.
#[derive(Debug)]
struct Accusation {
    parts: BTreeSet<u64>,
    /// Incarnations of the servers that crashed.
    incarnations: BTreeSet<u64>,
    /// When the crash that led to the accusation was seen.
    since_ms: TimeMs,
}

/// The parts of prompts, the evidence against them and the accused ones.
#[derive(Debug, Default)]
pub(super) struct PartSuspects {
    evidence: HashMap<u64, PartEvidence>,
    sound: HashMap<u64, Sound>,
    /// The parts of `sound`, the oldest first.
    sound_order: VecDeque<u64>,
    accusations: Vec<Accusation>,
    /// Trials that this entry has made of a part, by their number.
    trials: BTreeMap<u64, BTreeSet<usize>>,
    /// Parts that others may suspect and that this entry knows to be sound.
    contested: BTreeSet<u64>,
}

impl PartSuspects {
    /// Adds a call that was running at a server that crashed.
    pub(super) fn add(&mut self, crashed_ms: TimeMs, report: &CrashReport) {
        let sent_ms = crashed_ms - to_ms(report.run);
        if crashed_ms - sent_ms < MIN_RUN_MS {
            return;
        }
        let parts = &report.shared_parts;
        for part in parts {
            let sound = self.sound.get(part).copied().unwrap_or_default();
            if sound.shared_ms.is_some_and(|at| at >= sent_ms) {
                continue;
            }
            let calls = &mut self.evidence.entry(*part).or_default().calls;
            calls.push(Evidence {
                crash: report.crash,
                sent_ms,
                crashed_ms,
                just_began: report.just_began,
            });
            calls.sort_by_key(|e| (e.crashed_ms, e.crash));
            let excess = calls.len().saturating_sub(MAX_EVIDENCE);
            calls.drain(..excess);
            self.update_contested(*part);
        }
        if self.any_candidate(parts) {
            self.accuse();
        }
    }

    /// Removes a call.
    pub(super) fn remove(&mut self, crash: Crash, parts: &[u64]) {
        let candidate = self.any_candidate(parts);
        for part in parts {
            self.retain_evidence(*part, |e| e.crash != crash);
            self.update_contested(*part);
        }
        if candidate {
            self.accuse();
        }
    }

    /// Records that a server goes on with an answer to a prompt with these parts.
    pub(super) fn record_sound(&mut self, now_ms: TimeMs, parts: &[u64]) {
        for part in parts {
            self.sound_entry(*part).own_ms = Some(now_ms);
            self.trials.remove(part);
            self.update_contested(*part);
        }
        if self.any_candidate(parts) {
            self.accuse();
        }
    }

    /// Records that another entry knows a part to be sound; returns whether that is new.
    pub(super) fn add_sound(&mut self, part: u64, sound_ms: TimeMs) -> bool {
        let sound = self.sound_entry(part);
        if sound.shared_ms.is_some_and(|at| at >= sound_ms) {
            return false;
        }
        sound.shared_ms = Some(sound_ms);
        self.trials.remove(&part);
        let candidate = self.any_candidate(&[part]);
        self.retain_evidence(part, |e| e.sent_ms > sound_ms);
        self.update_contested(part);
        if candidate {
            self.accuse();
        }
        true
    }

    /// When all entries last knew a part to be sound.
    pub(super) fn shared_sound(&self, part: u64) -> Option<TimeMs> {
        self.sound.get(&part)?.shared_ms
    }

    /// Whether this entry knows a part to be sound that others may suspect.
    pub(super) fn has_contested(&self) -> bool {
        !self.contested.is_empty()
    }

    /// The parts that others may suspect, with the time at which this entry knew each to
    /// be sound. They count as told to all.
    pub(super) fn take_contested(&mut self) -> Vec<(u64, TimeMs)> {
        let parts = std::mem::take(&mut self.contested);
        let sound_ms = |part| Some((part, self.sound.get(&part)?.own_ms?));
        let told: Vec<_> = parts.into_iter().filter_map(sound_ms).collect();
        for (part, sound_ms) in &told {
            self.add_sound(*part, *sound_ms);
        }
        told
    }

    /// Removes what was known to be sound before a time; returns the parts that all
    /// entries knew.
    pub(super) fn expire_sound(&mut self, before_ms: TimeMs) -> Vec<u64> {
        let mut expired = Vec::new();
        self.sound.retain(|part, sound| {
            let keep = sound.own_ms.max(sound.shared_ms) >= Some(before_ms);
            if !keep && sound.shared_ms.is_some() {
                expired.push(*part);
            }
            keep
        });
        if !expired.is_empty() {
            let sound = &self.sound;
            self.sound_order.retain(|part| sound.contains_key(part));
        }
        expired.sort_unstable();
        expired
    }

    /// Whether a prompt with these parts is refused.
    pub(super) fn refuses(&self, parts: &[u64]) -> bool {
        self.accusations.iter().any(|a| a.applies_to(parts))
    }

    /// Whether several servers have crashed under calls with one of these parts, none of
    /// which is known to be sound since.
    pub(super) fn is_repeated(&self, parts: &[u64]) -> bool {
        let repeated = |part: &u64| {
            let mut incarnations = self.valid_evidence(*part).map(|e| e.crash.incarnation);
            let first = incarnations.next();
            first.is_some_and(|first| incarnations.any(|other| other != first))
        };
        parts.iter().any(repeated)
    }

    /// The incarnations whose crashes were caused by prompts unlike this one.
    pub(super) fn explained_without(&self, parts: &[u64]) -> BTreeSet<u64> {
        let others = self.accusations.iter().filter(|a| !a.applies_to(parts));
        others
            .flat_map(|a| a.incarnations.iter().copied())
            .collect()
    }

    /// Whether a part is accused.
    pub(super) fn is_accused(&self, part: u64) -> bool {
        self.accusations.iter().any(|a| a.parts.contains(&part))
    }

    /// The accused parts.
    pub(super) fn accused(&self) -> impl Iterator<Item = u64> {
        self.accusations
            .iter()
            .flat_map(|a| a.parts.iter().copied())
    }

    /// Whether a refused prompt may be sent as a trial. It must have no other part with
    /// evidence against it, or its crash would say nothing about the accused ones.
    pub(super) fn may_try(&self, now_ms: TimeMs, parts: &[u64], turn: TrialTurn) -> bool {
        self.next_trial(now_ms, parts, turn).is_some()
    }

    /// Takes the trial of [`may_try`](Self::may_try); returns whether there was one.
    pub(super) fn take_trial(&mut self, now_ms: TimeMs, parts: &[u64], turn: TrialTurn) -> bool {
        let Some((part, number)) = self.next_trial(now_ms, parts, turn) else {
            return false;
        };
        self.trials.entry(part).or_default().insert(number)
    }

    /// The part to be tried and the number of the trial.
    fn next_trial(&self, now_ms: TimeMs, parts: &[u64], turn: TrialTurn) -> Option<(u64, usize)> {
        let mut applying = self.accusations.iter().filter(|a| a.applies_to(parts));
        let (accusation, None) = (applying.next()?, applying.next()) else {
            return None;
        };
        let others = parts.iter().filter(|p| !accusation.parts.contains(p));
        if others
            .clone()
            .any(|p| self.valid_evidence(*p).next().is_some())
        {
            return None;
        }
        let age_ms = now_ms - accusation.since_ms;
        let number = TRIAL_DELAYS_MS.iter().rposition(|delay| age_ms >= *delay)?;
        let part = *accusation.parts.first()?;
        let place = rendezvous::score(part, number as u64) % u64::from(turn.entries.max(1));
        let made = self.trials.get(&part).is_some_and(|t| t.contains(&number));
        (place == u64::from(turn.index) && !made).then_some((part, number))
    }

    fn sound_entry(&mut self, part: u64) -> &mut Sound {
        if !self.sound.contains_key(&part) {
            self.sound_order.push_back(part);
            if self.sound_order.len() > MAX_SOUND
                && let Some(oldest) = self.sound_order.pop_front()
            {
                self.sound.remove(&oldest);
            }
        }
        self.sound.entry(part).or_default()
    }

    fn retain_evidence(&mut self, part: u64, keep: impl Fn(&Evidence) -> bool) {
        let Some(evidence) = self.evidence.get_mut(&part) else {
            return;
        };
        evidence.calls.retain(keep);
        if evidence.calls.is_empty() {
            self.evidence.remove(&part);
            self.trials.remove(&part);
        }
    }

    /// Whether there is enough evidence against one of the parts to accuse it.
    fn any_candidate(&self, parts: &[u64]) -> bool {
        let calls = |part| self.evidence.get(part).map_or(0, |e| e.calls.len());
        parts.iter().any(|part| calls(part) >= CRASH_LIMIT)
    }

    /// Updates whether others may suspect a part that this entry knows to be sound.
    fn update_contested(&mut self, part: u64) {
        let suspected = self.evidence.get(&part).is_some_and(|evidence| {
            separate_crashes(evidence.calls.iter()).len() >= CONTEST_LIMIT
                && separate_crashes(self.valid_evidence(part)).len() < CONTEST_LIMIT
        });
        match suspected {
            true => self.contested.insert(part),
            false => self.contested.remove(&part),
        };
    }

    /// The evidence against a part from calls that were sent after it was last known to
    /// be sound.
    fn valid_evidence(&self, part: u64) -> impl Iterator<Item = &Evidence> {
        let sound = self.sound.get(&part).copied().unwrap_or_default();
        let sound_ms = sound.own_ms.max(sound.shared_ms);
        let calls = self.evidence.get(&part).map(|e| e.calls.iter());
        let calls = calls.into_iter().flatten();
        calls.filter(move |e| sound_ms.is_none_or(|at| e.sent_ms > at))
    }

    /// Determines the accused parts.
    fn accuse(&mut self) {
        let mut candidates: Vec<Candidate> = self
            .evidence
            .iter()
            .filter(|(_, evidence)| evidence.calls.len() >= CRASH_LIMIT)
            .filter_map(|(part, _)| {
                let known = self.sound.contains_key(part);
                Candidate::new(*part, known, self.valid_evidence(*part))
            })
            .collect();
        candidates.sort_by_key(|c| c.part);
        self.accusations.clear();
        let mut explained = BTreeSet::new();
        while let Some(accusation) = next_accusation(&candidates, &explained) {
            explained.extend(accusation.incarnations.iter().copied());
            candidates.retain(|c| !accusation.parts.contains(&c.part));
            self.accusations.push(accusation);
        }
    }
}

impl Accusation {
    /// Whether a prompt has all of the parts that cannot be told apart.
    fn applies_to(&self, parts: &[u64]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}

/// A part that may be accused.
#[derive(Debug)]
struct Candidate {
    part: u64,
    /// Whether it was known to be sound before.
    known: bool,
    calls: Vec<Evidence>,
    /// The crashed calls, without times.
    crashes: BTreeSet<Crash>,
}

impl Candidate {
    fn new<'a>(part: u64, known: bool, calls: impl Iterator<Item = &'a Evidence>) -> Option<Self> {
        let calls: Vec<Evidence> = calls.copied().collect();
        let candidate = Self {
            part,
            known,
            crashes: calls.iter().map(|e| e.crash).collect(),
            calls,
        };
        let series = candidate.series(&BTreeSet::new()).len();
        (series >= candidate.limit()).then_some(candidate)
    }

    /// Separate crashes from which on it is accused.
    fn limit(&self) -> usize {
        if self.known { KNOWN_LIMIT } else { CRASH_LIMIT }
    }

    /// The separate crashes that are not in `explained`.
    fn series(&self, explained: &BTreeSet<u64>) -> Vec<TimeMs> {
        let left = self.calls.iter();
        separate_crashes(left.filter(|e| !explained.contains(&e.crash.incarnation)))
    }

    /// The number of separate crashes that are not in `explained`, each under a call whose
    /// answer had just begun.
    fn began_series(&self, explained: &BTreeSet<u64>) -> usize {
        let began = self.calls.iter().filter(|e| e.just_began);
        separate_crashes(began.filter(|e| !explained.contains(&e.crash.incarnation))).len()
    }
}

/// The accusation that explains most of the crashes that are left, first of all those under
/// calls whose answers had just begun, and of a part that was never known to be sound. A
/// part of only such calls that explains all of the crashes but one is not told apart from
/// it, as the report of one may be late.
fn next_accusation(candidates: &[Candidate], explained: &BTreeSet<u64>) -> Option<Accusation> {
    let series = |c: &Candidate| c.series(explained).len();
    let rank = |c: &&Candidate| {
        let began = c.began_series(explained);
        (began, !c.known, series(c), Reverse(c.crashes.len()))
    };
    let eligible = |c: &&Candidate| series(c) >= c.limit();
    let best = candidates.iter().filter(eligible).max_by_key(rank)?;
    let alike = candidates.iter().filter(|c| {
        c.known <= best.known && c.crashes.is_subset(&best.crashes) && series(c) + 1 >= series(best)
    });
    Some(Accusation {
        parts: alike.map(|c| c.part).collect(),
        incarnations: best.crashes.iter().map(|c| c.incarnation).collect(),
        since_ms: best.series(explained)[best.limit() - 1],
    })
}

/// The times of crashes of different servers, each under a call that was sent after the
/// crash before. `calls` are in the order of the crashes.
fn separate_crashes<'a>(calls: impl Iterator<Item = &'a Evidence>) -> Vec<TimeMs> {
    let mut times = Vec::new();
    let mut incarnations = BTreeSet::new();
    for call in calls {
        let separate = times.last().is_none_or(|last| call.sent_ms >= *last);
        if separate && incarnations.insert(call.crash.incarnation) {
            times.push(call.crashed_ms);
        }
    }
    times
}
