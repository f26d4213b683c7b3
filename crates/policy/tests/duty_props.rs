//! Random schedules of kills, suspensions, network cuts and lost answers against small
//! models of the store and of the platform that receives the reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use policy::duty::{Candidate, Step, Term, WriteOutcome};
use proptest::prelude::*;

const TICK: Duration = Duration::from_millis(100);

/// The platform's lease; two hosts must not alternate within it.
const LEASE: Duration = Duration::from_secs(3);

/// Length of a reported window, in ticks.
const WINDOW: u64 = 50;

const HOSTS: usize = 3;

/// The fault that affects a host in one tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Healthy,
    /// The host is suspended for this number of ticks.
    Suspended(u8),
    /// The process is killed and restarted.
    Killed,
    /// The store is unreachable.
    Disconnected,
    /// The next write is stored, but its answer is lost.
    AnswerLost,
    /// The next write is executed this number of ticks later, if the log end still
    /// matches.
    Delayed(u8),
    /// The process stops gracefully and is restarted.
    Stopped,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        40 => Just(Fault::Healthy),
        2 => (1u8..60).prop_map(Fault::Suspended),
        1 => Just(Fault::Killed),
        3 => Just(Fault::Disconnected),
        2 => Just(Fault::AnswerLost),
        2 => (1u8..40).prop_map(Fault::Delayed),
        1 => Just(Fault::Stopped),
    ]
}

/// The stored record: the holder of the duty, and the windows to report.
#[derive(Debug, Clone)]
struct StoredRecord {
    term: Term,
    finalized: BTreeMap<u64, u64>,
    next: u64,
}

#[derive(Default)]
struct Store {
    end: u64,
    stored: Option<StoredRecord>,
    delayed: Vec<(u64, u64, StoredRecord)>,
}

impl Store {
    fn write(&mut self, log_end: u64, stored: StoredRecord) -> WriteOutcome {
        if log_end != self.end {
            return WriteOutcome::Conflict;
        }
        self.end += 1;
        self.stored = Some(stored);
        WriteOutcome::Stored(log_end)
    }
}

/// The reports that the platform has accepted.
#[derive(Default)]
struct Platform {
    windows: BTreeMap<u64, u64>,
    holders: BTreeMap<u64, String>,
    highest: u64,
    calls: Vec<(Instant, usize)>,
}

impl Platform {
    /// Accepts a report; a token that is lower than an earlier one fails the test.
    fn report(
        &mut self,
        now: Instant,
        host: usize,
        incarnation: &str,
        token: u64,
        call: (u64, u64),
    ) -> bool {
        let holder = self.holders.entry(token).or_insert(incarnation.to_owned());
        assert_eq!(holder, incarnation, "two holders with one token");
        assert!(token >= self.highest, "a lower token after a higher one");
        self.highest = token;
        self.calls.push((now, host));
        let accepted = *self.windows.entry(call.0).or_insert(call.1);
        assert_eq!(accepted, call.1, "two reports of window {}", call.0);
        true
    }

    fn check_turns(&self) {
        for (i, (_, a)) in self.calls.iter().enumerate() {
            for (j, (at, b)) in self.calls.iter().enumerate().skip(i + 1) {
                let returned = self.calls[j..].iter().find(|(_, host)| host == a);
                if let (true, Some((return_call, _))) = (a != b, returned) {
                    let turn = *return_call - self.calls[i].0;
                    assert!(turn > LEASE, "{a}, {b}, {a} within {turn:?} until {at:?}");
                }
            }
        }
    }
}

struct Host {
    number: usize,
    restarts: u32,
    candidate: Candidate,
    suspended_ticks: u8,
    finalized: BTreeMap<u64, u64>,
    recorded: BTreeMap<u64, u64>,
    next: u64,
}

impl Host {
    fn new(number: usize, now: Instant) -> Self {
        Self {
            number,
            restarts: 0,
            candidate: Candidate::new(now, &format!("{number}-0"), &number.to_string(), LEASE),
            suspended_ticks: 0,
            finalized: BTreeMap::new(),
            recorded: BTreeMap::new(),
            next: 0,
        }
    }

    fn incarnation(&self) -> String {
        format!("{}-{}", self.number, self.restarts)
    }

    fn restart(&mut self, now: Instant) {
        let restarts = self.restarts + 1;
        *self = Self {
            restarts,
            candidate: Candidate::new(
                now,
                &format!("{}-{restarts}", self.number),
                &self.number.to_string(),
                LEASE,
            ),
            ..Self::new(self.number, now)
        };
    }

    fn step(&mut self, now: Instant, tick: u64, fault: Fault, store: &mut Store) {
        let step = match self.candidate.next_step(now, self.number) {
            Step::Read if fault == Fault::Disconnected => {
                self.candidate.record_read_failure(now);
                return;
            }
            Step::Read => self.read(now, store),
            step => step,
        };
        let finalized = self.finalize(now, tick);
        let term = match step {
            Step::Renew(term) | Step::Claim(term) => Some(term),
            _ if finalized => self.candidate.term().cloned(),
            _ => None,
        };
        if let Some(term) = term {
            self.write(now, tick, term, fault, store);
        }
        if self.candidate.term().is_none() {
            self.recorded.clear();
        }
    }

    fn read(&mut self, now: Instant, store: &Store) -> Step {
        let term = store.stored.as_ref().map(|k| &k.term);
        let step = self.candidate.record_read(now, term, store.end);
        if matches!(step, Step::Claim(_)) {
            let stored = store.stored.as_ref();
            self.finalized = stored.map(|k| k.finalized.clone()).unwrap_or_default();
            self.next = stored.map_or(0, |k| k.next);
            self.recorded.clear();
        }
        step
    }

    /// Finalizes the window that is due. Each incarnation counts different requests, so
    /// that a window reported with two different counts is detected.
    fn finalize(&mut self, now: Instant, tick: u64) -> bool {
        if self.candidate.token(now).is_none() || self.next >= tick / WINDOW {
            return false;
        }
        let counted = self.number as u64 * 1_000_000 + u64::from(self.restarts) * 10_000 + tick;
        self.finalized.insert(self.next, counted);
        self.next += 1;
        true
    }

    fn write(&mut self, now: Instant, tick: u64, term: Term, fault: Fault, store: &mut Store) {
        let stored = StoredRecord {
            term: term.clone(),
            finalized: self.finalized.clone(),
            next: self.next,
        };
        let at = self.candidate.log_end();
        let written = match fault {
            Fault::Disconnected => WriteOutcome::Unknown,
            Fault::AnswerLost => {
                store.write(at, stored);
                WriteOutcome::Unknown
            }
            Fault::Delayed(ticks) => {
                store.delayed.push((tick + u64::from(ticks), at, stored));
                WriteOutcome::Unknown
            }
            _ => store.write(at, stored),
        };
        let released = term.released;
        self.candidate.record_write(now, now, term, written);
        if matches!(written, WriteOutcome::Stored(_)) && !released {
            self.recorded = self.finalized.clone();
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
        if platform.report(now, self.number, &self.incarnation(), token, call) {
            self.recorded.remove(&call.0);
            self.finalized.remove(&call.0);
        }
    }

    fn stop(&mut self, now: Instant, tick: u64, store: &mut Store) {
        if let Some(term) = self.candidate.resign(now, None) {
            self.write(now, tick, term, Fault::Healthy, store);
        }
        self.restart(now);
    }
}

/// Simulates a schedule; returns the platform with the reports that it accepted.
fn simulate(schedule: &[[Fault; HOSTS]]) -> Platform {
    let start = Instant::now();
    let mut store = Store::default();
    let mut platform = Platform::default();
    let mut hosts: Vec<Host> = (0..HOSTS).map(|n| Host::new(n, start)).collect();
    for (tick, faults) in schedule.iter().enumerate() {
        let tick = tick as u64;
        let now = start + TICK * tick as u32;
        let (due, delayed) = std::mem::take(&mut store.delayed)
            .into_iter()
            .partition(|(at, _, _)| *at <= tick);
        store.delayed = delayed;
        for (_, at, stored) in due {
            store.write(at, stored);
        }
        for (host, fault) in hosts.iter_mut().zip(faults) {
            if host.suspended_ticks > 0 {
                host.suspended_ticks -= 1;
                continue;
            }
            match fault {
                Fault::Suspended(ticks) => host.suspended_ticks = *ticks,
                Fault::Killed => host.restart(now),
                Fault::Stopped => host.stop(now, tick, &mut store),
                fault => {
                    host.step(now, tick, *fault, &mut store);
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

    /// Under any faults of the holders and their writes, the platform gets one report
    /// for each window, tokens never decrease, each token belongs to one incarnation,
    /// and no two hosts alternate within a lease.
    #[test]
    fn each_window_is_reported_once(schedule in prop::collection::vec([fault(), fault(), fault()], 100..700)) {
        simulate(&schedule);
    }

    /// Once there are no more faults, every window is reported.
    #[test]
    fn every_window_is_reported_once_healthy(schedule in prop::collection::vec([fault(), fault(), fault()], 0..300)) {
        let healthy = [[Fault::Healthy; HOSTS]; 400];
        let all: Vec<_> = schedule.iter().copied().chain(healthy).collect();
        let platform = simulate(&all);
        let last = all.len() as u64 / WINDOW - 1;
        for window in 0..last {
            prop_assert!(platform.windows.contains_key(&window), "window {window} of {last}");
        }
    }
}
