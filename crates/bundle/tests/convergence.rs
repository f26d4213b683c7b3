//! Any interleaving of publishes, duplicates, expiries, checkpoints and fresh
//! readers ends with all readers on the same version, and no reader's version
//! ever goes down.

mod common;

use std::collections::HashMap;

use base::ids::{BundleSequence, Offset};
use bundle::{Acceptor, Hash, Verdict};
use common::{Memory, awa, change, content, id, luz, trust};
use proptest::prelude::*;

/// How many readers there are.
const READERS: usize = 4;

/// Rounds of reading and checkpoints after which all must agree.
const ROUNDS: usize = 8;

/// One thing that happens.
#[derive(Debug, Clone)]
enum Event {
    /// An operator publishes on what a reader, perhaps a late one, holds.
    Publish { reader: usize, luz: bool },
    /// A record that is or was in the log is appended again.
    Duplicate { pick: usize },
    /// The log forgets records from its beginning.
    Expire { count: u64 },
    /// A reader judges some records.
    Read { reader: usize, most: usize },
    /// A reader appends a checkpoint of what it holds, perhaps late.
    Checkpoint { reader: usize },
    /// A reader is replaced by one that knows nothing.
    Replace { reader: usize },
    /// A reader takes over what another holds.
    Fetch { from: usize, to: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let reader = || 0..READERS;
    prop_oneof![
        4 => (reader(), any::<bool>()).prop_map(|(reader, luz)| Event::Publish { reader, luz }),
        3 => any::<prop::sample::Index>().prop_map(|i| Event::Duplicate { pick: i.index(1 << 16) }),
        2 => (1..6u64).prop_map(|count| Event::Expire { count }),
        6 => (reader(), 1..8usize).prop_map(|(reader, most)| Event::Read { reader, most }),
        2 => reader().prop_map(|reader| Event::Checkpoint { reader }),
        1 => reader().prop_map(|reader| Event::Replace { reader }),
        1 => (reader(), reader()).prop_map(|(from, to)| Event::Fetch { from, to }),
    ]
}

/// The log and its readers.
struct World {
    log: Memory,
    readers: Vec<Acceptor>,
    /// Versions made so far, so that no two are alike.
    made: u32,
    /// Whether records expire only when a checkpoint has judged them, as
    /// long as no outage outlasts half the retention.
    covered: bool,
    /// Which record each version number meant, to whoever accepted it.
    accepted: HashMap<BundleSequence, Hash>,
}

impl World {
    fn new(covered: bool) -> Self {
        Self {
            log: Memory::default(),
            readers: vec![Acceptor::new(trust()); READERS],
            made: 0,
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
            Event::Read { reader, most } => {
                self.log.read(&mut self.readers[reader], most);
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
            prop_assert!(reader.sequence() >= before, "a version went down");
        }
        self.agree()
    }

    /// While every record expires only after a checkpoint has judged it, a
    /// version number means the same record to all.
    fn agree(&mut self) -> Result<(), TestCaseError> {
        if !self.covered {
            return Ok(());
        }
        for reader in &self.readers {
            if let Some(id) = id(reader) {
                let known = *self.accepted.entry(reader.sequence()).or_insert(id);
                prop_assert_eq!(known, id, "two records for one version");
            }
        }
        Ok(())
    }

    fn publish(&mut self, reader: usize, by_luz: bool) {
        // An operator's tool reads the log to the end as it finds it, so an
        // unanchored one publishes nothing.
        let reader = &self.readers[reader];
        if !reader.is_contiguous() {
            return;
        }
        self.made += 1;
        let key = if by_luz { luz() } else { awa() };
        let to = content(&format!("v{}", self.made), &trust());
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
            first = first.min(self.usable());
        }
        self.log.first = self.log.first.max(first);
    }

    /// The first offset that some retained checkpoint needs; nothing from
    /// there on may expire.
    fn usable(&self) -> u64 {
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

    /// What daemons do by themselves once nothing disturbs them any more.
    fn settle(&mut self) {
        for _ in 0..ROUNDS {
            let mut behind = false;
            for at in 0..READERS {
                let verdicts = self.log.read_all(&mut self.readers[at]);
                let stuck = !self.readers[at].is_contiguous() && self.readers[at].head().is_some();
                if stuck {
                    self.readers[at].skip_gap(Offset(self.log.first));
                    self.log.read_all(&mut self.readers[at]);
                }
                if stuck || verdicts.contains(&Verdict::StaleCheckpoint) {
                    self.checkpoint(at);
                    behind = true;
                }
            }
            let blind = |r: &Acceptor| !r.is_contiguous();
            if !behind && !self.readers.iter().any(blind) {
                return;
            }
            if !behind && self.readers.iter().any(blind) {
                let knows = self.readers.iter().position(|r| r.snapshot().is_some());
                if let Some(at) = knows {
                    self.checkpoint(at);
                }
            }
        }
    }
}

fn check(covered: bool, events: &[Event]) -> Result<(), TestCaseError> {
    let mut world = World::new(covered);
    for event in events {
        world.run(event)?;
    }
    let before: Vec<BundleSequence> = world.readers.iter().map(Acceptor::sequence).collect();
    world.settle();
    world.agree()?;

    let ids: Vec<Option<Hash>> = world.readers.iter().map(id).collect();
    prop_assert!(ids.iter().all(|i| *i == ids[0]), "readers differ: {ids:?}");
    for (reader, before) in world.readers.iter().zip(before) {
        prop_assert!(reader.sequence() >= before, "a version went down");
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
