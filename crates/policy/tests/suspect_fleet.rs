//! A fleet of entries before engines that crash under a part of a prompt, with sound calls
//! beside, as a simulation with a seed. `FLEET_SEEDS=200` plays that many seeds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use policy::suspects::{Crash, CrashReport, CrashSuspects, Fingerprint, TrialTurn};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const FATAL: u64 = 0xfa7a1;

/// Crashes after which the part has to be known, and the time after the last of them.
const FREE_CRASHES: u64 = 5;
const CONTACT_MS: u64 = 3000;

/// Calls with the part that may still reach engines.
const MAX_LATE: u64 = 3;

/// Time from the first event from which an answer shows that its prompt is sound.
const STEADY_MS: u64 = 500;

/// Time from the first event in which an answer has just begun.
const BEGIN_MS: u64 = 250;

/// Callers of a kind of call, which all share its first part, have one part each.
const KINDS: u64 = 3;
const CALLERS: u64 = 10;
const SUBJECTS: u64 = 60;

/// When calls with the fatal part come, and when the simulation ends.
const FATAL_FROM_MS: u64 = 4000;
const FATAL_TO_MS: u64 = 24_000;
const END_MS: u64 = 26_000;

/// The size of a fleet, and what happens to it.
#[derive(Debug, Clone, Copy)]
struct Plan {
    entries: usize,
    engines: usize,
    /// Calls per second.
    sound_rate: u64,
    fatal_rate: u64,
    /// Share of the entries that neither tell nor hear of crashes from 4 s to 10 s.
    cut_off: f64,
    /// Whether each entry starts again at some time.
    restarts: bool,
    /// Whether engines answered calls with the part at first.
    was_sound: bool,
    /// Share of all engines that crash together at 6 s, 9 s, 12 s and so on.
    lost_together: f64,
}

impl Plan {
    const fn new(entries: usize, engines: usize, sound_rate: u64) -> Self {
        Self {
            entries,
            engines,
            sound_rate,
            fatal_rate: 10,
            cut_off: 0.0,
            restarts: false,
            was_sound: false,
            lost_together: 0.0,
        }
    }
}

#[derive(Debug, Clone)]
struct SimCall {
    entry: usize,
    parts: Vec<u64>,
    sent_ms: u64,
    /// When the engine begins to answer, and when it ends.
    begin_ms: u64,
    end_ms: u64,
    first_attempt: bool,
}

impl SimCall {
    fn is_fatal(&self) -> bool {
        self.parts.contains(&FATAL)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FatalArrives,
    SoundArrives,
    Begins { engine: usize, call: u64 },
    Steady { engine: usize, call: u64 },
    Ends { engine: usize, call: u64 },
    Returns { engine: usize },
    LoseTogether,
    ReportHeard { report: usize },
    SoundHeard { part: u64, sound_ms: u64 },
    Tells { entry: usize },
    Restarts { entry: usize },
}

#[derive(Debug, Default)]
struct Engine {
    incarnation: u64,
    down: bool,
    running: BTreeMap<u64, SimCall>,
}

struct Fleet {
    plan: Plan,
    rng: Pcg64Mcg,
    start: Instant,
    now_ms: u64,
    entries: Vec<CrashSuspects>,
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// The table of crashes in the store, with the time of each, and of sound parts.
    reports: Vec<(u64, CrashReport)>,
    sound: BTreeMap<u64, u64>,
    number: u64,
    /// Times of the crashes under fatal calls.
    crashes: Vec<u64>,
    /// Fatal calls sent too late, by entries that were not cut off.
    late: u64,
    /// Sound calls beside the fatal ones, by entries that were not cut off: those that
    /// began, and all.
    beside: (u64, u64),
    /// The same for all sound calls.
    all: (u64, u64),
    /// Sound calls that were refused because of what is suspected.
    refused: u64,
}

impl Fleet {
    fn new(plan: Plan, seed: u64) -> Self {
        let mut fleet = Self {
            plan,
            rng: Pcg64Mcg::seed_from_u64(seed),
            start: Instant::now(),
            now_ms: 0,
            entries: Vec::new(),
            engines: Vec::new(),
            events: BinaryHeap::new(),
            reports: Vec::new(),
            sound: BTreeMap::new(),
            number: 0,
            crashes: Vec::new(),
            late: 0,
            beside: (0, 0),
            all: (0, 0),
            refused: 0,
        };
        fleet
            .entries
            .resize_with(plan.entries, CrashSuspects::default);
        fleet.engines.resize_with(plan.engines, Engine::default);
        for engine in 0..plan.engines {
            fleet.number += 1;
            fleet.engines[engine].incarnation = fleet.number;
        }
        fleet.at(1, Event::SoundArrives);
        fleet.at(FATAL_FROM_MS, Event::FatalArrives);
        if plan.lost_together > 0.0 {
            fleet.at(6000, Event::LoseTogether);
        }
        if plan.restarts {
            for entry in 0..plan.entries {
                let at_ms = fleet.rng.random_range(FATAL_FROM_MS..FATAL_TO_MS);
                fleet.at(at_ms, Event::Restarts { entry });
            }
        }
        fleet
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at_ms, self.number, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn is_cut_off(&self, entry: usize) -> bool {
        let count = (self.plan.entries as f64 * self.plan.cut_off) as usize;
        entry < count && (4000..10_000).contains(&self.now_ms)
    }

    /// Whether an entry has been reachable for long enough to know what the others know.
    fn is_in_touch(&self, entry: usize) -> bool {
        let count = (self.plan.entries as f64 * self.plan.cut_off) as usize;
        entry >= count || !(4000..10_000 + CONTACT_MS).contains(&self.now_ms)
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > END_MS {
                return;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FatalArrives => self.fatal_arrives(),
            Event::SoundArrives => self.sound_arrives(),
            Event::Begins { engine, call } => self.begins(engine, call),
            Event::Steady { engine, call } => {
                let running = self.engines[engine].running.get(&call).cloned();
                self.record_sound(running);
            }
            Event::Ends { engine, call } => {
                let ended = self.engines[engine].running.remove(&call);
                self.record_sound(ended);
            }
            Event::Returns { engine } => {
                self.number += 1;
                self.engines[engine].incarnation = self.number;
                self.engines[engine].down = false;
            }
            Event::LoseTogether => {
                for engine in 0..self.engines.len() {
                    if self.rng.random_bool(self.plan.lost_together) {
                        self.crash(engine);
                    }
                }
                self.at(self.now_ms + 3000, Event::LoseTogether);
            }
            Event::ReportHeard { report } => self.report_heard(report),
            Event::SoundHeard { part, sound_ms } => self.sound_heard(part, sound_ms),
            Event::Tells { entry } => self.tells(entry),
            Event::Restarts { entry } => self.restarts(entry),
        }
    }

    /// A call with the fatal part at any place among its shared parts, no two alike.
    fn fatal_arrives(&mut self) {
        if self.now_ms < FATAL_TO_MS {
            let gap_ms = self.rng.random_range(1..2000 / self.plan.fatal_rate);
            self.at(self.now_ms + gap_ms, Event::FatalArrives);
        }
        let mut parts = self.sound_parts();
        let place = self.rng.random_range(0..=parts.len());
        parts.insert(place, FATAL);
        let entry = self.rng.random_range(0..self.plan.entries);
        self.send(entry, parts, true);
    }

    fn sound_arrives(&mut self) {
        let gap_ms = self.rng.random_range(0..=2000 / self.plan.sound_rate);
        self.at(self.now_ms + gap_ms, Event::SoundArrives);
        let mut parts = self.sound_parts();
        if self.plan.was_sound && self.now_ms < 500 && self.rng.random_bool(0.1) {
            parts.push(FATAL);
        }
        let entry = self.rng.random_range(0..self.plan.entries);
        self.send(entry, parts, true);
    }

    /// The shared parts of a call: of its kind, its caller and its subject, and some that no
    /// other call has.
    fn sound_parts(&mut self) -> Vec<u64> {
        let kind = 0x1000 + self.rng.random_range(0..KINDS);
        let caller = 0x2000 + self.rng.random_range(0..CALLERS);
        let subject = 0x3000 + self.rng.random_range(0..SUBJECTS);
        let mut parts = vec![kind, kind * 0x100 + caller, subject];
        let own = self.rng.random_range(0..4);
        parts.extend((0..own).map(|n| (self.number << 20) + n));
        parts
    }

    fn send(&mut self, entry: usize, parts: Vec<u64>, first_attempt: bool) {
        let fatal = parts.contains(&FATAL);
        let turn = TrialTurn {
            entries: self.plan.entries as u32,
            index: entry as u32,
        };
        let now = self.now();
        let suspects = &mut self.entries[entry];
        let left = suspects.refusal_left(now, Fingerprint([0; 16]), &parts);
        let admitted = left.is_none() || suspects.take_trial(now, &parts, turn);
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|n| !self.engines[*n].down)
            .collect();
        let judged = first_attempt && !fatal && self.is_in_touch(entry);
        let fifth_ms = self.crashes.get(FREE_CRASHES as usize - 1).copied();
        let late_by = |ms: u64| fifth_ms.is_some_and(|fifth| self.now_ms > fifth + ms);
        if judged {
            self.all.1 += 1;
            self.refused += u64::from(!admitted);
            self.beside.1 += u64::from(late_by(2 * CONTACT_MS));
        }
        if !admitted || up.is_empty() {
            return;
        }
        if fatal && late_by(CONTACT_MS) && self.is_in_touch(entry) {
            self.late += 1;
        }
        let engine = up[self.rng.random_range(0..up.len())];
        let begin_ms = self.now_ms + self.rng.random_range(40..400);
        let end_ms = begin_ms + self.rng.random_range(100..3000);
        self.number += 1;
        let call = self.number;
        self.at(begin_ms, Event::Begins { engine, call });
        let sent = SimCall {
            entry,
            parts,
            sent_ms: self.now_ms,
            begin_ms,
            end_ms,
            first_attempt,
        };
        self.engines[engine].running.insert(call, sent);
    }

    fn begins(&mut self, engine: usize, call: u64) {
        let Some(running) = self.engines[engine].running.get(&call).cloned() else {
            return;
        };
        if running.is_fatal() && self.now_ms >= FATAL_FROM_MS {
            self.crashes.push(self.now_ms);
            self.crash(engine);
            return;
        }
        if running.first_attempt && self.is_in_touch(running.entry) {
            self.all.0 += 1;
            let fifth_ms = self.crashes.get(FREE_CRASHES as usize - 1);
            let beside = fifth_ms.is_some_and(|fifth| running.sent_ms > fifth + 2 * CONTACT_MS);
            self.beside.0 += u64::from(beside);
        }
        if running.end_ms > running.begin_ms + STEADY_MS {
            self.at(running.begin_ms + STEADY_MS, Event::Steady { engine, call });
        }
        self.at(running.end_ms, Event::Ends { engine, call });
    }

    /// Crashes an engine. The entries with calls there see it a little later, and send the
    /// fatal ones once more.
    fn crash(&mut self, engine: usize) {
        let crashed = std::mem::take(&mut self.engines[engine].running);
        let incarnation = self.engines[engine].incarnation;
        self.engines[engine].down = true;
        let back_ms = self.now_ms + self.rng.random_range(2000..4000);
        self.at(back_ms, Event::Returns { engine });
        let mut by_entry: BTreeMap<usize, Vec<CrashReport>> = BTreeMap::new();
        for (number, call) in &crashed {
            let steady = call.begin_ms + STEADY_MS < self.now_ms;
            let just_began = (call.begin_ms..call.begin_ms + BEGIN_MS).contains(&self.now_ms);
            // The head of an answer may be lost with the connection.
            let head_lost = self.rng.random_bool(0.2);
            let report = CrashReport {
                crash: Crash {
                    fingerprint: Fingerprint(u128::from(*number).to_be_bytes()),
                    incarnation,
                },
                age: Duration::ZERO,
                run: Duration::from_millis(self.now_ms - call.sent_ms),
                just_began: just_began && !head_lost,
                shared_parts: match steady {
                    true => Vec::new(),
                    false => call.parts.clone(),
                },
            };
            by_entry.entry(call.entry).or_default().push(report);
        }
        let now = self.now();
        for (entry, reports) in by_entry {
            for report in self.entries[entry].server_crashed(now, reports) {
                self.reports.push((self.now_ms, report));
                let delay_ms = self.rng.random_range(20..400);
                let event = Event::ReportHeard {
                    report: self.reports.len() - 1,
                };
                self.share(entry, delay_ms, event);
            }
            self.tell_later(entry);
        }
        for call in crashed
            .into_values()
            .filter(|c| c.is_fatal() && c.first_attempt)
        {
            self.send(call.entry, call.parts, false);
        }
    }

    /// Lets all entries hear of something; what a cut-off entry has to say waits.
    fn share(&mut self, from: usize, delay_ms: u64, event: Event) {
        let healed_ms = if self.is_cut_off(from) { 10_000 } else { 0 };
        self.at((self.now_ms + delay_ms).max(healed_ms), event);
    }

    fn report_heard(&mut self, report: usize) {
        let (seen_ms, seen) = self.reports[report].clone();
        let heard = CrashReport {
            age: Duration::from_millis(self.now_ms - seen_ms),
            ..seen
        };
        let now = self.now();
        for entry in 0..self.plan.entries {
            if self.is_cut_off(entry) {
                let again_ms = 10_000;
                self.at(again_ms, Event::ReportHeard { report });
                continue;
            }
            self.entries[entry].add_crash(now, &heard);
            self.tell_later(entry);
        }
    }

    fn sound_heard(&mut self, part: u64, sound_ms: u64) {
        let (now, age) = (self.now(), Duration::from_millis(self.now_ms - sound_ms));
        for entry in 0..self.plan.entries {
            if !self.is_cut_off(entry) {
                self.entries[entry].add_sound_part(now, part, age);
            }
        }
    }

    fn record_sound(&mut self, call: Option<SimCall>) {
        if let Some(call) = call {
            let now = self.now();
            self.entries[call.entry].record_sound_parts(now, &call.parts);
            self.tell_later(call.entry);
        }
    }

    fn tell_later(&mut self, entry: usize) {
        if self.entries[entry].has_contested_parts() {
            let longest_ms = 2 * self.plan.entries as u64;
            let delay_ms = self.rng.random_range(0..=longest_ms);
            self.at(self.now_ms + delay_ms, Event::Tells { entry });
        }
    }

    fn tells(&mut self, entry: usize) {
        let now = self.now();
        for (part, age) in self.entries[entry].take_contested_parts(now) {
            let sound_ms = self.now_ms - age.as_millis() as u64;
            self.sound.insert(part, sound_ms);
            let delay_ms = self.rng.random_range(20..400);
            self.share(entry, delay_ms, Event::SoundHeard { part, sound_ms });
        }
    }

    /// An entry starts again and reads the table.
    fn restarts(&mut self, entry: usize) {
        let now = self.now();
        let mut suspects = CrashSuspects::default();
        for (seen_ms, report) in &self.reports {
            let age = Duration::from_millis(self.now_ms - seen_ms);
            let report = CrashReport {
                age,
                ..report.clone()
            };
            suspects.add_crash(now, &report);
        }
        for (part, sound_ms) in &self.sound {
            let age = Duration::from_millis(self.now_ms - sound_ms);
            suspects.add_sound_part(now, *part, age);
        }
        self.entries[entry] = suspects;
    }
}

/// Guards against a fatal part that keeps crashing engines because calls with it come to any
/// entry, no two alike, and against refusing sound calls that share their other parts.
#[rstest]
#[case::small(Plan::new(4, 12, 100), 20)]
#[case::small_seldom(Plan { fatal_rate: 2, ..Plan::new(4, 12, 100) }, 20)]
#[case::small_often(Plan { fatal_rate: 40, ..Plan::new(4, 12, 100) }, 20)]
#[case::small_cut_off(Plan { cut_off: 0.5, ..Plan::new(4, 12, 100) }, 20)]
#[case::small_sound_before(Plan { was_sound: true, ..Plan::new(4, 12, 100) }, 20)]
#[case::small_restarts(Plan { restarts: true, ..Plan::new(4, 12, 100) }, 20)]
#[case::small_racks(Plan { lost_together: 0.3, ..Plan::new(4, 12, 100) }, 20)]
#[case::middle(Plan::new(30, 55, 300), 5)]
#[case::middle_cut_off(Plan { cut_off: 0.3, ..Plan::new(30, 55, 300) }, 5)]
#[case::middle_restarts(Plan { restarts: true, ..Plan::new(30, 55, 300) }, 5)]
#[case::large(Plan::new(300, 100, 500), 1)]
#[case::fleet(Plan::new(987, 400, 1000), 1)]
fn fatal_part_is_contained(#[case] plan: Plan, #[case] seeds: u64) {
    let seeds = std::env::var("FLEET_SEEDS").map_or(seeds, |n| n.parse().expect("a number"));
    for seed in 0..seeds {
        let mut fleet = Fleet::new(plan, seed);
        fleet.run();
        let crashes = fleet.crashes.len();
        println!(
            "seed={seed} crashes={crashes} late={} beside={:?} all={:?} refused={}",
            fleet.late, fleet.beside, fleet.all, fleet.refused
        );
        assert!(fleet.late <= MAX_LATE, "seed {seed}: {} late", fleet.late);
        let (began, sent) = fleet.beside;
        assert!(began * 2 >= sent, "seed {seed}: {began} of {sent} began");
    }
}

/// Guards against refusing sound calls because engines crash together, again and again.
#[rstest]
#[case::racks(0.3)]
#[case::all(1.0)]
fn engines_lost_together_accuse_nobody(#[case] lost_together: f64) {
    for seed in 0..10 {
        let plan = Plan {
            lost_together,
            ..Plan::new(4, 12, 100)
        };
        let mut fleet = Fleet::new(plan, seed);
        fleet
            .events
            .retain(|Reverse((_, _, event))| *event != Event::FatalArrives);
        fleet.run();
        println!("seed={seed} all={:?} refused={}", fleet.all, fleet.refused);
        assert_eq!(fleet.refused, 0, "seed {seed}");
    }
}
