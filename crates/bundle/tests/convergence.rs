//! After any interleaving of publications, duplicates, expiries, checkpoints and
//! new readers, all readers converge to the same version, and no reader's
//! version ever decreases.

mod common;

use std::collections::HashMap;

use base::ids::{BundleSequence, Offset};
use bundle::{Acceptor, Hash, Verdict};
use common::{MemoryLog, awa, change, content, id, luz, trust};
use proptest::prelude::*;

/// Number of readers.
const READERS: usize = 4;

/// Number of rounds of reads and checkpoints within which all must converge.
const ROUNDS: usize = 8;

/// One random event.
#[derive(Debug, Clone)]
enum Event {
    /// An operator publishes a successor of the version of a reader, which may
    /// be outdated.
    Publish { reader: usize, luz: bool },
    /// A record that is or was in the log is appended again.
    Duplicate { pick: usize },
    /// The oldest records expire.
    Expire { count: u64 },
    /// A reader processes some records.
    Read { reader: usize, limit: usize },
    /// A reader, which may be outdated, appends a checkpoint.
    Checkpoint { reader: usize },
    /// A reader is replaced by an empty one.
    Replace { reader: usize },
    /// A reader adopts the snapshot of another.
    Fetch { from: usize, to: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let reader = || 0..READERS;
    prop_oneof![
        4 => (reader(), any::<bool>()).prop_map(|(reader, luz)| Event::Publish { reader, luz }),
        3 => any::<prop::sample::Index>().prop_map(|i| Event::Duplicate { pick: i.index(1 << 16) }),
        2 => (1..6u64).prop_map(|count| Event::Expire { count }),
        6 => (reader(), 1..8usize).prop_map(|(reader, limit)| Event::Read { reader, limit }),
        2 => reader().prop_map(|reader| Event::Checkpoint { reader }),
        1 => reader().prop_map(|reader| Event::Replace { reader }),
        1 => (reader(), reader()).prop_map(|(from, to)| Event::Fetch { from, to }),
    ]
}

/// The log and its readers.
struct Simulation {
    log: MemoryLog,
    readers: Vec<Acceptor>,
    /// Number of versions published so far, which makes their contents
    /// distinct.
    published: u32,
    /// Whether records expire only after a checkpoint covers them, which holds
    /// unless an outage exceeds half of the retention.
    covered: bool,
    /// Accepted record of each version.
    accepted: HashMap<BundleSequence, Hash>,
}

impl Simulation {
    fn new(covered: bool) -> Self {
        Self {
            log: MemoryLog::default(),
            readers: vec![Acceptor::new(trust()); READERS],
            published: 0,
            covered,
            accepted: HashMap::new(),
        }
    }

    fn run(&mut self, event: &Event) -> Result<(), TestCaseError> {
        let before: Vec<BundleSequence> = self.readers.iter().map(Acceptor::sequence).collect();
        match *event {
            Event::Publish { reader, luz } => self.publish(reader, luz),
            Event::Duplicate { pick } => self.duplicate(pick),
            Event::Expire { count } => self.expire(count),
            Event::Read { reader, limit } => {
                self.log.read(&mut self.readers[reader], limit);
            }
            Event::Checkpoint { reader } => self.checkpoint(reader),
            Event::Replace { reader } => {
                self.readers[reader] = Acceptor::new(trust());
                return Ok(());
            }
            Event::Fetch { from, to } => {
                if let Some(state) = self.readers[from].snapshot() {
                    let _ = self.readers[to].adopt(state);
                }
            }
        }
        for (reader, before) in self.readers.iter().zip(before) {
            prop_assert!(reader.sequence() >= before, "a version decreased");
        }
        self.agree()
    }

    /// If records expire only after a checkpoint covers them, all readers accept
    /// the same record for each version.
    fn agree(&mut self) -> Result<(), TestCaseError> {
        if !self.covered {
            return Ok(());
        }
        for reader in &self.readers {
            if let Some(id) = id(reader) {
                let known = *self.accepted.entry(reader.sequence()).or_insert(id);
                prop_assert_eq!(known, id, "two records accepted for one version");
            }
        }
        Ok(())
    }

    fn publish(&mut self, reader: usize, by_luz: bool) {
        // The CLI reads the whole log first and publishes nothing after a gap.
        let reader = &self.readers[reader];
        if !reader.is_contiguous() {
            return;
        }
        self.published += 1;
        let key = if by_luz { luz() } else { awa() };
        let to = content(&format!("v{}", self.published), &trust());
        let record = change(reader, &key, &to);
        self.log.append(&record);
    }

    fn duplicate(&mut self, pick: usize) {
        let len = self.log.records.len();
        if len > 0 {
            let record = self.log.records[pick % len].clone();
            self.log.records.push(record);
        }
    }

    fn expire(&mut self, count: u64) {
        let mut first = (self.log.first + count).min(self.log.end());
        if self.covered {
            first = first.min(self.first_uncovered());
        }
        self.log.first = self.log.first.max(first);
    }

    /// First offset that may not expire, because the newest checkpoint does not
    /// cover it.
    fn first_uncovered(&self) -> u64 {
        let checkpoint = |at: u64| match serde_json::from_slice(&self.log.records[at as usize]) {
            Ok(bundle::Record::Checkpoint(c)) if c.processed < Offset(at) => {
                Some(c.processed.0 + 1)
            }
            _ => None,
        };
        let judged = (self.log.first..self.log.end()).rev().find_map(checkpoint);
        judged.unwrap_or(0)
    }

    fn checkpoint(&mut self, reader: usize) {
        for record in self.readers[reader].checkpoint_records() {
            self.log.append(&record);
        }
    }

    /// Lets the readers converge by reading and writing checkpoints, as daemons
    /// do.
    fn converge(&mut self) {
        for _ in 0..ROUNDS {
            let mut behind = false;
            for at in 0..READERS {
                let verdicts = self.log.read_all(&mut self.readers[at]);
                let has_open_gap =
                    !self.readers[at].is_contiguous() && self.readers[at].head().is_some();
                if has_open_gap {
                    self.readers[at].skip_gap(Offset(self.log.first));
                    self.log.read_all(&mut self.readers[at]);
                }
                if has_open_gap || verdicts.contains(&Verdict::StaleCheckpoint) {
                    self.checkpoint(at);
                    behind = true;
                }
            }
            let has_gap = |r: &Acceptor| !r.is_contiguous();
            if !behind && !self.readers.iter().any(has_gap) {
                return;
            }
            if !behind && self.readers.iter().any(has_gap) {
                let knows = self.readers.iter().position(|r| r.snapshot().is_some());
                if let Some(at) = knows {
                    self.checkpoint(at);
                }
            }
        }
    }
}

fn check(covered: bool, events: &[Event]) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(covered);
    for event in events {
        simulation.run(event)?;
    }
    let before: Vec<BundleSequence> = simulation.readers.iter().map(Acceptor::sequence).collect();
    simulation.converge();
    simulation.agree()?;

    let ids: Vec<Option<Hash>> = simulation.readers.iter().map(id).collect();
    prop_assert!(ids.iter().all(|i| *i == ids[0]), "readers differ: {ids:?}");
    for (reader, before) in simulation.readers.iter().zip(before) {
        prop_assert!(reader.sequence() >= before, "a version decreased");
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    #[test]
    fn apply_any_order(events in prop::collection::vec(event(), 1..60)) {
        check(true, &events)?;
    }

    #[test]
    fn apply_any_order_with_gaps(events in prop::collection::vec(event(), 1..60)) {
        check(false, &events)?;
    }
}
