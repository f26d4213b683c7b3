//! Random schedules of kills, suspensions, cuts and lost answers against a
//! small model of the store and of the platform that duties go to.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use policy::duty::{Candidate, Step, Term, WriteOutcome};
use proptest::prelude::*;

const TICK: Duration = Duration::from_millis(100);

/// The platform's lease, within which two hosts must not take turns.
const LEASE: Duration = Duration::from_secs(3);

/// Ticks in a window that is reported.
const WINDOW: u64 = 50;

const HOSTS: usize = 3;

/// What a host meets in one tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Luck {
    Calm,
    /// It stands still for so many ticks.
    Suspended(u8),
    /// Its process is killed and starts again.
    Killed,
    /// It does not reach the store.
    Cut,
    /// Its next write stands, and its answer is lost.
    Lost,
    /// Its next write is carried out so many ticks later, if it still may be.
    Late(u8),
    /// It is asked to stop, and starts again.
    Stopped,
}

fn luck() -> impl Strategy<Value = Luck> {
    prop_oneof![
        40 => Just(Luck::Calm),
        2 => (1u8..60).prop_map(Luck::Suspended),
        1 => Just(Luck::Killed),
        3 => Just(Luck::Cut),
        2 => Just(Luck::Lost),
        2 => (1u8..40).prop_map(Luck::Late),
        1 => Just(Luck::Stopped),
    ]
}

/// What the store keeps: who holds the duty, and what is reported.
#[derive(Debug, Clone)]
struct Kept {
    term: Term,
    fixed: BTreeMap<u64, u64>,
    next: u64,
}

#[derive(Default)]
struct Store {
    end: u64,
    kept: Option<Kept>,
    late: Vec<(u64, u64, Kept)>,
}

impl Store {
    fn write(&mut self, at: u64, kept: Kept) -> WriteOutcome {
        if at != self.end {
            return WriteOutcome::Conflict;
        }
        self.end += 1;
        self.kept = Some(kept);
        WriteOutcome::Stored(at)
    }
}

/// What the platform has accepted.
#[derive(Default)]
struct Platform {
    windows: BTreeMap<u64, u64>,
    holders: BTreeMap<u64, String>,
    highest: u64,
    calls: Vec<(Instant, usize)>,
}

impl Platform {
    /// Takes a report; false if its token is too low.
    fn report(
        &mut self,
        now: Instant,
        host: usize,
        life: &str,
        token: u64,
        call: (u64, u64),
    ) -> bool {
        let holder = self.holders.entry(token).or_insert(life.to_owned());
        assert_eq!(holder, life, "two holders with one token");
        assert!(token >= self.highest, "a lower token after a higher one");
        self.highest = token;
        self.calls.push((now, host));
        let told = *self.windows.entry(call.0).or_insert(call.1);
        assert_eq!(told, call.1, "two reports of window {}", call.0);
        true
    }

    fn check_turns(&self) {
        for (i, (_, a)) in self.calls.iter().enumerate() {
            for (j, (at, b)) in self.calls.iter().enumerate().skip(i + 1) {
                let back = self.calls[j..].iter().find(|(_, host)| host == a);
                if let (true, Some((again, _))) = (a != b, back) {
                    let turn = *again - self.calls[i].0;
                    assert!(turn > LEASE, "{a}, {b}, {a} within {turn:?} until {at:?}");
                }
            }
        }
    }
}

struct Host {
    number: usize,
    lives: u32,
    candidate: Candidate,
    asleep: u8,
    fixed: BTreeMap<u64, u64>,
    recorded: BTreeMap<u64, u64>,
    next: u64,
}

impl Host {
    fn new(number: usize, now: Instant) -> Self {
        Self {
            number,
            lives: 0,
            candidate: Candidate::new(now, &format!("{number}-0"), &number.to_string(), LEASE),
            asleep: 0,
            fixed: BTreeMap::new(),
            recorded: BTreeMap::new(),
            next: 0,
        }
    }

    fn life(&self) -> String {
        format!("{}-{}", self.number, self.lives)
    }

    fn restart(&mut self, now: Instant) {
        let lives = self.lives + 1;
        *self = Self {
            lives,
            candidate: Candidate::new(
                now,
                &format!("{}-{lives}", self.number),
                &self.number.to_string(),
                LEASE,
            ),
            ..Self::new(self.number, now)
        };
    }

    fn round(&mut self, now: Instant, tick: u64, luck: Luck, store: &mut Store) {
        let step = match self.candidate.next_step(now, self.number) {
            Step::Read if luck == Luck::Cut => {
                self.candidate.record_read_failure(now);
                return;
            }
            Step::Read => self.read(now, store),
            step => step,
        };
        let fixed = self.fix(now, tick);
        let term = match step {
            Step::Renew(term) | Step::Claim(term) => Some(term),
            _ if fixed => self.candidate.term().cloned(),
            _ => None,
        };
        if let Some(term) = term {
            self.write(now, tick, term, luck, store);
        }
        if self.candidate.term().is_none() {
            self.recorded.clear();
        }
    }

    fn read(&mut self, now: Instant, store: &Store) -> Step {
        let term = store.kept.as_ref().map(|k| &k.term);
        let step = self.candidate.record_read(now, term, store.end);
        if matches!(step, Step::Claim(_)) {
            let kept = store.kept.as_ref();
            self.fixed = kept.map(|k| k.fixed.clone()).unwrap_or_default();
            self.next = kept.map_or(0, |k| k.next);
            self.recorded.clear();
        }
        step
    }

    /// Fixes what is due. Each life counts something else, so that a window
    /// that is reported from two accounts shows.
    fn fix(&mut self, now: Instant, tick: u64) -> bool {
        if self.candidate.token(now).is_none() || self.next >= tick / WINDOW {
            return false;
        }
        let counted = self.number as u64 * 1_000_000 + u64::from(self.lives) * 10_000 + tick;
        self.fixed.insert(self.next, counted);
        self.next += 1;
        true
    }

    fn write(&mut self, now: Instant, tick: u64, term: Term, luck: Luck, store: &mut Store) {
        let kept = Kept {
            term: term.clone(),
            fixed: self.fixed.clone(),
            next: self.next,
        };
        let at = self.candidate.log_end();
        let written = match luck {
            Luck::Cut => WriteOutcome::Unknown,
            Luck::Lost => {
                store.write(at, kept);
                WriteOutcome::Unknown
            }
            Luck::Late(ticks) => {
                store.late.push((tick + u64::from(ticks), at, kept));
                WriteOutcome::Unknown
            }
            _ => store.write(at, kept),
        };
        let released = term.released;
        self.candidate.record_write(now, now, term, written);
        if matches!(written, WriteOutcome::Stored(_)) && !released {
            self.recorded = self.fixed.clone();
        }
    }

    fn report(&mut self, now: Instant, platform: &mut Platform) {
        let Some((window, counts)) = self.recorded.first_key_value() else {
            return;
        };
        let Some(token) = self.candidate.token(now) else {
            return;
        };
        let call = (*window, *counts);
        if platform.report(now, self.number, &self.life(), token, call) {
            self.recorded.remove(&call.0);
            self.fixed.remove(&call.0);
        }
    }

    fn stop(&mut self, now: Instant, tick: u64, store: &mut Store) {
        if let Some(term) = self.candidate.resign(now, None) {
            self.write(now, tick, term, Luck::Calm, store);
        }
        self.restart(now);
    }
}

/// Plays a schedule; returns what the platform has accepted.
fn play(schedule: &[[Luck; HOSTS]]) -> Platform {
    let start = Instant::now();
    let mut store = Store::default();
    let mut platform = Platform::default();
    let mut hosts: Vec<Host> = (0..HOSTS).map(|n| Host::new(n, start)).collect();
    for (tick, lucks) in schedule.iter().enumerate() {
        let tick = tick as u64;
        let now = start + TICK * tick as u32;
        let (due, late) = std::mem::take(&mut store.late)
            .into_iter()
            .partition(|(at, _, _)| *at <= tick);
        store.late = late;
        for (_, at, kept) in due {
            store.write(at, kept);
        }
        for (host, luck) in hosts.iter_mut().zip(lucks) {
            if host.asleep > 0 {
                host.asleep -= 1;
                continue;
            }
            match luck {
                Luck::Suspended(ticks) => host.asleep = *ticks,
                Luck::Killed => host.restart(now),
                Luck::Stopped => host.stop(now, tick, &mut store),
                luck => {
                    host.round(now, tick, *luck, &mut store);
                    host.report(now, &mut platform);
                }
            }
        }
    }
    platform.check_turns();
    platform
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever happens to the holders and to their writes, the platform gets
    /// one report of a window, tokens that only grow, each from one life, and
    /// no two hosts that take turns within a lease.
    #[test]
    fn one_report(schedule in prop::collection::vec([luck(), luck(), luck()], 100..700)) {
        play(&schedule);
    }

    /// Once all is calm, each window is reported.
    #[test]
    fn calm_reports(schedule in prop::collection::vec([luck(), luck(), luck()], 0..300)) {
        let calm = [[Luck::Calm; HOSTS]; 400];
        let all: Vec<_> = schedule.iter().copied().chain(calm).collect();
        let platform = play(&all);
        let last = all.len() as u64 / WINDOW - 1;
        for window in 0..last {
            prop_assert!(platform.windows.contains_key(&window), "window {window} of {last}");
        }
    }
}
