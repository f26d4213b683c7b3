//! Property tests of the queue over random sequences of calls. The seeds are
//! fixed, so that every run tests the same sequences.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use base::reason::Refusal;
use policy::queue::{Admission, Queue, QueuePolicy, QueueRequest, QueueSettings, Rejection};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MS: Duration = Duration::from_millis(1);

/// Slots of the backend server.
const SLOTS: usize = 3;

/// One call or the passing of time.
#[derive(Debug, Clone)]
enum Step {
    Offer {
        tier: u8,
        workspace: u8,
        target_ms: u32,
        repeatable: bool,
    },
    /// Grants every available slot and starts all but `unstarted` of the
    /// requests.
    Next {
        unstarted: usize,
    },
    Cancel {
        which: usize,
        lapsed: bool,
    },
    Piece {
        which: usize,
    },
    Deliver {
        which: usize,
    },
    Finish {
        which: usize,
        whole: bool,
    },
    Wait {
        ms: u32,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u8, 0..4u8, 5..400u32, any::<bool>()).prop_map(
            |(tier, workspace, target_ms, repeatable)| Step::Offer {
                tier, workspace, target_ms, repeatable,
            }
        ),
        4 => (0..3usize).prop_map(|unstarted| Step::Next { unstarted }),
        1 => (0..99usize, any::<bool>()).prop_map(|(which, lapsed)| Step::Cancel { which, lapsed }),
        3 => (0..99usize).prop_map(|which| Step::Piece { which }),
        1 => (0..99usize).prop_map(|which| Step::Deliver { which }),
        4 => (0..99usize, prop::bool::weighted(0.9))
            .prop_map(|(which, whole)| Step::Finish { which, whole }),
        4 => (1..40u32).prop_map(|ms| Step::Wait { ms }),
    ]
}

fn check(seed: u8, cases: u32, test: impl Fn(Vec<Step>) -> Result<(), TestCaseError>) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..400);
    if let Err(e) = runner.run(&steps, test) {
        panic!("seed {seed}: {e}");
    }
}

/// The real queue, and the state that its caller expects.
struct Model {
    queue: Queue,
    now: Instant,
    last_ticket: u128,
    requests: HashMap<RequestId, QueueRequest>,
    waiting: HashSet<RequestId>,
    held: Vec<RequestId>,
    running: Vec<RequestId>,
    /// Number of guaranteed starts since the last regular one.
    passed_over: u32,
    starts: u32,
    guaranteed: HashSet<RequestId>,
}

impl Model {
    fn new(settings: QueueSettings) -> Self {
        let now = Instant::now();
        Self {
            queue: Queue::new(settings, SLOTS, now),
            now,
            last_ticket: 0,
            requests: HashMap::new(),
            waiting: HashSet::new(),
            held: Vec::new(),
            running: Vec::new(),
            passed_over: 0,
            starts: 0,
            guaranteed: HashSet::new(),
        }
    }

    fn tier(&self, ticket: RequestId) -> Tier {
        self.requests[&ticket].tier
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Offer {
                tier,
                workspace,
                target_ms,
                repeatable,
            } => {
                self.offer(tier, workspace, target_ms, repeatable)?;
            }
            Step::Next { unstarted } => self.next(unstarted)?,
            Step::Cancel { which, lapsed } => self.cancel(which, lapsed),
            Step::Piece { which } => {
                if let Some(ticket) = nth(&self.running, which) {
                    self.queue.record_piece(self.now, ticket, 1);
                }
            }
            Step::Deliver { which } => {
                if let Some(ticket) = nth(&self.running, which) {
                    self.queue.mark_delivered(ticket);
                }
            }
            Step::Finish { which, whole } => {
                if let Some(ticket) = nth(&self.running, which) {
                    self.finish(ticket, whole);
                }
            }
            Step::Wait { ms } => self.now += ms * MS,
        }
        let evicted = self.queue.review(self.now);
        self.apply_evicted(&evicted)?;
        self.preempt()?;
        self.check_counts()
    }

    fn offer(
        &mut self,
        tier: u8,
        workspace: u8,
        target_ms: u32,
        repeatable: bool,
    ) -> Result<(), TestCaseError> {
        self.last_ticket += 1;
        let request = QueueRequest {
            ticket: RequestId(self.last_ticket),
            class: Rc::from(format!("class-{tier}")),
            workspace: Rc::from(format!("workspace-{workspace}")),
            weight: u32::from(workspace),
            tier: Tier(tier),
            first_deadline: self.now + target_ms * MS,
            answer_deadline: self.now + (target_ms + 500) * MS,
            prompt_tokens: 10 * target_ms,
            max_tokens: 1000,
            repeatable,
            preemptions: u32::from(target_ms.is_multiple_of(7)),
        };
        self.requests.insert(request.ticket, request.clone());
        let (ticket, others) = (request.ticket, self.waiting.clone());
        match self.queue.offer(self.now, request) {
            Admission::Queued => {
                self.waiting.insert(ticket);
            }
            Admission::Refused(rejection) => self.check_refused(ticket, rejection, &others)?,
        }
        Ok(())
    }

    /// A request may only be shed when no lower-tier request waits.
    fn check_refused(
        &self,
        ticket: RequestId,
        rejection: Rejection,
        others: &HashSet<RequestId>,
    ) -> Result<(), TestCaseError> {
        let tier = self.tier(ticket);
        if rejection.reason == Refusal::Shed {
            let lower = others.iter().any(|t| self.tier(*t) > tier);
            prop_assert!(!lower, "shed while a lower tier waits");
        }
        Ok(())
    }

    fn apply_evicted(&mut self, evicted: &[(RequestId, Rejection)]) -> Result<(), TestCaseError> {
        for (ticket, _) in evicted {
            prop_assert!(self.waiting.remove(ticket), "evicted but not waiting");
        }
        for (ticket, rejection) in evicted {
            self.check_refused(*ticket, *rejection, &self.waiting)?;
        }
        Ok(())
    }

    fn next(&mut self, unstarted: usize) -> Result<(), TestCaseError> {
        let mut left = unstarted;
        while let Some(granted) = self.queue.grant_next(self.now) {
            let ticket = granted.ticket;
            prop_assert!(self.waiting.remove(&ticket), "granted but not waiting");
            let higher = self.waiting.iter().any(|t| self.tier(*t) < granted.tier);
            match granted.guaranteed {
                true => {
                    self.passed_over += 1;
                    self.guaranteed.insert(ticket);
                    prop_assert!(higher, "guaranteed start although no higher tier waits");
                    prop_assert!(self.passed_over <= 1, "passed over twice in a row");
                }
                false => {
                    self.passed_over = 0;
                    prop_assert!(!higher, "a lower tier started before a higher one");
                }
            }
            self.starts += 1;
            self.held.push(ticket);
            if left > 0 {
                left -= 1;
                continue;
            }
            self.held.pop();
            prop_assert!(self.queue.start(self.now, ticket));
            self.running.push(ticket);
        }
        Ok(())
    }

    fn cancel(&mut self, which: usize, lapsed: bool) {
        let mut all: Vec<_> = self.waiting.iter().copied().collect();
        all.extend(&self.held);
        all.extend(&self.running);
        all.sort_unstable();
        let Some(ticket) = nth(&all, which) else {
            return;
        };
        let known = self.waiting.remove(&ticket) || self.held.contains(&ticket);
        self.held.retain(|t| *t != ticket);
        // A cancelled start is refunded; one whose hold lapsed stays spent.
        if known && !lapsed {
            self.guaranteed.remove(&ticket);
        }
        assert_eq!(self.queue.cancel(self.now, ticket, lapsed), known);
        // A repeated call changes nothing.
        assert!(!self.queue.cancel(self.now, ticket, lapsed));
    }

    fn preempt(&mut self) -> Result<(), TestCaseError> {
        let Some(victim) = self.queue.preempt(self.now) else {
            return Ok(());
        };
        let request = self.requests[&victim].clone();
        prop_assert!(self.running.contains(&victim));
        prop_assert!(request.repeatable && request.preemptions == 0);
        let wanted = self.waiting.iter().map(|t| self.tier(*t)).min();
        prop_assert!(
            wanted.is_some_and(|t| t < request.tier),
            "nothing higher waits"
        );
        self.finish(victim, false);
        // The slot must go to the tier that it was preempted for.
        let granted = self.queue.grant_next(self.now);
        let granted = granted
            .ok_or_else(|| TestCaseError::fail("no request was granted the preempted slot"))?;
        prop_assert!(granted.tier < request.tier);
        self.waiting.remove(&granted.ticket);
        self.held.push(granted.ticket);
        self.passed_over = 0;
        self.starts += 1;
        Ok(())
    }

    fn finish(&mut self, ticket: RequestId, whole: bool) {
        self.running.retain(|t| *t != ticket);
        self.queue.finish(self.now, ticket, whole);
        // A repeated call changes nothing.
        self.queue.finish(self.now, ticket, whole);
    }

    fn check_counts(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(self.queue.busy(), self.held.len() + self.running.len());
        prop_assert!(self.queue.busy() <= SLOTS);
        prop_assert_eq!(self.queue.waiting(), self.waiting.len());
        Ok(())
    }
}

fn nth(tickets: &[RequestId], which: usize) -> Option<RequestId> {
    tickets.get(which % tickets.len().max(1)).copied()
}

fn settings(policy: QueuePolicy) -> QueueSettings {
    QueueSettings {
        policy,
        limit: 12,
        guaranteed: 0.2,
        ..QueueSettings::default()
    }
}

// Requests of all tiers arrive, are cancelled, lapse and end in any order. No
// request is shed or preempted for one of a lower tier, lower tiers overtake
// only within the guaranteed share, and no slot leaks.
#[test]
fn queue_order_and_slots() {
    for (seed, policy) in [(1, QueuePolicy::Full), (2, QueuePolicy::NoAdmission)] {
        check(seed, 300, |steps| {
            let mut model = Model::new(settings(policy));
            steps.iter().try_for_each(|step| model.apply(step))?;
            let max_starts = 1.0 + 0.2 * f64::from(model.starts);
            prop_assert!(
                model.guaranteed.len() as f64 <= max_starts,
                "more guaranteed starts than the share allows"
            );
            Ok(())
        });
    }
}

// Requests of the higher tiers alone arrive faster than the server can serve
// them. Each class must still be served in every interval, through the
// guaranteed share and the probes.
#[test]
fn queue_serves_every_class() {
    for seed in 0..4 {
        let mut rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut model = Model::new(QueueSettings {
            limit: 200,
            guaranteed: 0.05,
            ..QueueSettings::default()
        });
        let mut served = [0; 3];
        for tick in 0..12_000u32 {
            model.now += MS;
            // Twice the capacity of 3 slots at 30 ms a run, over all tiers
            // together.
            if rng.random_bool(0.2) {
                let (tier, workspace) = (rng.random_range(0..3), rng.random_range(0..4));
                let target = 200 + 1000 * u32::from(tier);
                model
                    .offer(tier, workspace, target, false)
                    .expect("property holds");
            }
            let evicted = model.queue.review(model.now);
            model.apply_evicted(&evicted).expect("property holds");
            if tick.is_multiple_of(10)
                && let Some(ticket) = model.running.first().copied()
            {
                served[usize::from(model.tier(ticket).0)] += 1;
                model.finish(ticket, true);
            }
            model.next(0).expect("property holds");
            for ticket in model.running.clone() {
                model.queue.record_piece(model.now, ticket, 1);
            }
            if tick % 4000 == 3999 {
                assert!(served.iter().all(|n| *n > 0), "seed {seed}: {served:?}");
                served = [0; 3];
            }
        }
    }
}

// Workspaces of different size and weight overload the server. Slot time must
// be shared by weight: while two workspaces wait, their slot time divided by
// weight differs by no more than a few requests, even if the larger one has
// the earliest deadlines.
#[test]
fn queue_fair_between_workspaces() {
    for seed in 0..4 {
        let mut rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let now = Instant::now();
        let mut queue = Queue::new(
            QueueSettings {
                limit: 10_000,
                ..settings(QueuePolicy::NoAdmission)
            },
            1,
            now,
        );
        let mut requests = HashMap::new();
        for ticket in 0..3000u128 {
            // The first workspace has the most requests and the earliest
            // deadlines.
            let which: u128 = rng.random_range(0..10);
            let workspace = which.saturating_sub(6) as u32;
            let request = QueueRequest {
                ticket: RequestId(ticket),
                class: Rc::from("class"),
                workspace: Rc::from(format!("workspace-{workspace}")),
                weight: workspace + 1,
                tier: Tier(1),
                first_deadline: now + Duration::from_secs(60 + u64::from(workspace)),
                answer_deadline: now + Duration::from_secs(600),
                prompt_tokens: 100,
                max_tokens: 1000,
                repeatable: true,
                preemptions: 0,
            };
            requests.insert(request.ticket, workspace);
            queue.offer(now, request);
        }

        let mut got = [0u32; 4];
        for _ in 0..600 {
            let granted = queue.grant_next(now).expect("a slot is free");
            queue.start(now, granted.ticket);
            queue.finish(now, granted.ticket, false);
            got[requests[&granted.ticket] as usize] += 1;
        }
        let shares: Vec<f64> = (1..)
            .zip(got)
            .map(|(w, n)| f64::from(n) / f64::from(w))
            .collect();
        for share in &shares {
            assert!((share - shares[0]).abs() <= 2.0, "seed {seed}: {shares:?}");
        }
    }
}
