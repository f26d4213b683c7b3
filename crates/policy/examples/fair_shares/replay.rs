//! Calls of many workspaces at engines whose sidecars admit them, replayed with
//! the time of a simulation.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use policy::grants::{CallId, EngineReport, GrantController, GrantDecision, GrantRequest};
use policy::shares::{self, ShareAccount};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Tokens that an engine prefills in a millisecond: 2,048 in 50 ms.
const TOKENS_PER_MS: f64 = 41.0;

/// Calls that an engine runs concurrently.
const SLOTS: u32 = 96;

/// Time per output token, in milliseconds.
const TOKEN_MS: u64 = 8;

/// Interval of the engine's reports, in milliseconds.
const REPORT_MS: u64 = 50;

/// What is replayed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    /// Seed of the arrivals.
    pub(crate) seed: u64,
    /// Number of engines.
    pub(crate) engines: usize,
    /// Number of workspaces.
    pub(crate) workspaces: usize,
    /// Exponent of the Zipf distribution of the usual rates.
    pub(crate) skew: f64,
    /// Usual demand of all workspaces, over the prefill rate of the engines.
    pub(crate) load: f64,
    /// The workspace that floods, and the multiple of its usual rate; a multiple
    /// of 0 leaves its calls out.
    pub(crate) flood: (usize, f64),
    /// Part of the calm workspaces' calls that are questions of tier 1; the others
    /// are long prompts of tier 2.
    pub(crate) questions: f64,
    /// The same for the flooding workspace.
    pub(crate) flood_questions: f64,
    /// Number of engines that are home of a part of each workspace's calls.
    pub(crate) homes: usize,
    /// Length in milliseconds.
    pub(crate) length: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            engines: 1,
            workspaces: 24,
            skew: 1.2,
            load: 0.6,
            flood: (2, 1.0),
            questions: 0.75,
            flood_questions: 0.75,
            homes: 1,
            length: 30_000,
        }
    }
}

/// A class of calls.
#[derive(Debug, Clone, Copy)]
struct Class {
    own_tokens: u32,
    shared_tokens: u32,
    output: u32,
    rank: u8,
    target: Duration,
    /// Whether an engine has to take it if it can be in time for the caller.
    may_force: bool,
}

/// Questions of tier 1 and long prompts of tier 2.
const CLASSES: [Class; 2] = [
    Class {
        own_tokens: 1_800,
        shared_tokens: 568,
        output: 25,
        rank: 4,
        target: Duration::from_millis(500),
        may_force: true,
    },
    Class {
        own_tokens: 2_890,
        shared_tokens: 6_300,
        output: 50,
        rank: 6,
        target: Duration::from_millis(1_500),
        may_force: false,
    },
];

/// Part of its target that a call may wait, as entries ask for it.
const LIMIT_SHARE: f64 = 0.8;

/// Time that a caller waits for the end of a call.
const TIME_LEFT: Duration = Duration::from_secs(4);

/// Part of that time within which an engine must take a call of tier 1.
const FORCED_SHARE: f64 = 0.6;

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: u64,
    workspace: usize,
    class: usize,
}

/// What workspaces got.
#[derive(Debug, Default, Clone)]
pub(crate) struct Outcome {
    /// Cost of the calls of each workspace, in prefill tokens.
    pub(crate) requested: Vec<f64>,
    /// Cost of the calls with a first event in time.
    pub(crate) served: Vec<f64>,
    /// Cost of all calls with a first event.
    pub(crate) total: f64,
    /// Prompt tokens that the engines have read for them.
    pub(crate) read: f64,
    /// Calls with a late first event, and refused calls.
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Queued calls that were refused.
    pub(crate) displaced: u32,
}

impl Outcome {
    /// Served over requested cost of the calm workspaces together.
    pub(crate) fn calm_part(&self, flood: usize) -> f64 {
        let calm = |costs: &[f64]| -> f64 {
            let costs = costs.iter().enumerate();
            costs.filter(|(n, _)| *n != flood).map(|(_, c)| c).sum()
        };
        calm(&self.served) / calm(&self.requested)
    }

    /// Jain's index of `parts`.
    pub(crate) fn jain(parts: &[f64]) -> f64 {
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|p| p * p).sum();
        sum * sum / (parts.len() as f64 * squares)
    }

    /// Served cost of each workspace over what it requested.
    pub(crate) fn parts(&self) -> Vec<f64> {
        let parts = self.served.iter().zip(&self.requested);
        let parts = parts.filter(|(_, requested)| **requested > 0.0);
        parts
            .map(|(served, requested)| served / requested)
            .collect()
    }

    /// Served cost of each workspace over its max-min fair part of what all were
    /// served.
    pub(crate) fn fair_parts(&self) -> Vec<f64> {
        let total: f64 = self.served.iter().sum();
        let fair = shares::fair_rate(self.requested.clone(), total);
        let parts = self.served.iter().zip(&self.requested);
        let parts = parts.filter(|(_, requested)| **requested > 0.0);
        parts
            .map(|(served, requested)| served / requested.min(fair))
            .collect()
    }
}

fn exponential(random: &mut Pcg64, mean: f64) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln() * mean
}

fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let weights: Vec<f64> = (1..=scenario.workspaces)
        .map(|n| (n as f64).powf(-scenario.skew))
        .collect();
    let sum: f64 = weights.iter().sum();
    // Shared parts are usually cached.
    let [question, long] = CLASSES.map(|class| f64::from(class.own_tokens));
    let capacity = scenario.engines as f64 * TOKENS_PER_MS;
    let mut arrivals = Vec::new();
    for (workspace, weight) in weights.iter().enumerate() {
        // A sequence of its own for each workspace, so that those of the others
        // stay the same in a flood.
        let mut random = Pcg64::seed_from_u64(scenario.seed << 32 | workspace as u64);
        let (factor, questions) = match workspace == scenario.flood.0 {
            true => (scenario.flood.1, scenario.flood_questions),
            false => (1.0, scenario.questions),
        };
        let mean_tokens = questions * question + (1.0 - questions) * long;
        let usual = scenario.load * capacity * weight / sum / mean_tokens;
        if factor <= 0.0 {
            continue;
        }
        let mut at = 0.0;
        loop {
            at += exponential(&mut random, 1.0 / (usual * factor));
            if at >= scenario.length as f64 {
                break;
            }
            let drawn: f64 = random.random();
            let class = usize::from(drawn >= questions);
            arrivals.push(Arrival {
                at: at as u64,
                workspace,
                class,
            });
        }
    }
    arrivals.sort_by_key(|a| (a.at, a.workspace));
    arrivals
}

struct Engine {
    grants: GrantController,
    /// Calls that it reads: id and remaining tokens.
    reading: VecDeque<(CallId, f64)>,
    /// Calls that it decodes, with the time of their ends.
    decoding: Vec<(u64, CallId)>,
}

/// How engines are shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// By due time only.
    Off,
    /// Each sidecar counts on its own.
    Sidecars,
    /// Requests also carry the excess over shares of the whole service, known
    /// from gossip.
    Service,
}

/// Interval of the gossip, in milliseconds.
const GOSSIP_MS: u64 = 1_000;

/// Part of older costs that is kept at each interval of the gossip.
const KEPT_COST: f64 = 0.5;

/// Costs of the whole service, as entries know them.
#[derive(Default)]
struct ServiceCosts {
    /// Recent cost of each workspace: requested and admitted.
    requested: Vec<f64>,
    admitted: Vec<f64>,
    /// Excess of each workspace at one engine.
    excess: Vec<u64>,
}

impl ServiceCosts {
    fn exchange(&mut self, engines: usize) {
        let total: f64 = self.admitted.iter().sum();
        let fair = shares::fair_rate(self.requested.clone(), total);
        let excess = |admitted: &f64| (admitted - fair).max(0.0) / engines as f64;
        self.excess = self.admitted.iter().map(|a| excess(a) as u64).collect();
        let costs = self.requested.iter_mut().chain(&mut self.admitted);
        costs.for_each(|cost| *cost *= KEPT_COST);
    }
}

struct Replay {
    scenario: Scenario,
    mode: Mode,
    service: ServiceCosts,
    start: Instant,
    engines: Vec<Engine>,
    /// The arrival of each call.
    calls: HashMap<CallId, Arrival>,
    outcome: Outcome,
}

/// Replays a scenario.
pub(crate) fn run(scenario: &Scenario, mode: Mode) -> Outcome {
    let engine = || Engine {
        grants: match mode {
            Mode::Off => GrantController::default(),
            Mode::Sidecars | Mode::Service => GrantController::with_shares(ShareAccount::default()),
        },
        reading: VecDeque::new(),
        decoding: Vec::new(),
    };
    let none = || vec![0.0; scenario.workspaces];
    let mut replay = Replay {
        scenario: *scenario,
        mode,
        service: ServiceCosts {
            requested: none(),
            admitted: none(),
            excess: vec![0; scenario.workspaces],
        },
        start: Instant::now(),
        engines: (0..scenario.engines).map(|_| engine()).collect(),
        calls: HashMap::new(),
        outcome: Outcome {
            requested: none(),
            served: none(),
            ..Outcome::default()
        },
    };
    let mut arrivals = arrivals(scenario).into_iter().peekable();
    let mut number = 0;
    for t in 0..scenario.length {
        while let Some(arrival) = arrivals.next_if(|a| a.at <= t) {
            number += 1;
            replay.arrive(t, number, arrival);
        }
        if t.is_multiple_of(GOSSIP_MS) {
            replay.service.exchange(scenario.engines);
        }
        for n in 0..replay.engines.len() {
            replay.step(t, n);
        }
    }
    replay.outcome
}

fn cost(class: &Class) -> f64 {
    shares::call_cost(class.own_tokens, class.output) as f64
}

impl Replay {
    fn arrive(&mut self, t: u64, number: u32, arrival: Arrival) {
        let class = &CLASSES[arrival.class];
        self.outcome.requested[arrival.workspace] += cost(class);
        self.service.requested[arrival.workspace] += cost(class);
        let now = self.start + Duration::from_millis(t);
        let id = CallId {
            incarnation: 1,
            number,
        };
        self.calls.insert(id, arrival);
        let workspace = arrival.workspace as u64;
        let shared = workspace * 10 + u64::from(class.rank);
        let request = GrantRequest {
            id,
            parts: vec![
                (shared, class.shared_tokens),
                (1_000_000 + u64::from(number), class.own_tokens),
            ],
            ttft_limit: class.target.mul_f64(LIMIT_SHARE),
            time_left: TIME_LEFT,
            max_gap: None,
            slots: SLOTS,
            rank: class.rank,
            is_home: true,
            forced: false,
            fetchable: 0,
            copy_time: None,
            workspace: Some(workspace + 1),
            output_tokens: class.output,
        };
        let part = number as usize % self.scenario.homes;
        let home = (arrival.workspace + part) % self.engines.len();
        let next = (home + 1) % self.engines.len();
        let mut best = Duration::MAX;
        let mut best_engine = home;
        for n in [home, next] {
            if n == next && n == home && best < Duration::MAX {
                break;
            }
            let is_home = n == home;
            let request = GrantRequest {
                is_home,
                ..request.clone()
            };
            match self.ask(now, n, request) {
                GrantDecision::Refused(expected) if expected < best => {
                    (best, best_engine) = (expected, n);
                }
                GrantDecision::Refused(_) => {}
                _ => return,
            }
        }
        let forced = class.may_force && best <= TIME_LEFT.mul_f64(FORCED_SHARE);
        let request = GrantRequest { forced, ..request };
        let refused = |decision| matches!(decision, GrantDecision::Refused(_));
        if !forced || refused(self.ask(now, best_engine, request)) {
            self.outcome.refused += 1;
        }
    }

    fn ask(&mut self, now: Instant, n: usize, request: GrantRequest) -> GrantDecision {
        let engine = &mut self.engines[n];
        let tokens = engine.grants.missing_tokens(&request.parts);
        let id = request.id;
        let workspace = self.calls[&id].workspace;
        if self.mode == Mode::Service {
            let excess = self.service.excess[workspace];
            engine.grants.observe_excess(workspace as u64 + 1, excess);
        }
        let decision = engine.grants.request(now, request);
        let displaced = engine.grants.take_displaced().len() as u32;
        self.outcome.displaced += displaced;
        self.outcome.refused += displaced;
        if decision == GrantDecision::Granted {
            self.outcome.read += f64::from(tokens);
            engine.reading.push_back((id, f64::from(tokens)));
        }
        decision
    }

    /// One millisecond of an engine.
    fn step(&mut self, t: u64, n: usize) {
        let now = self.start + Duration::from_millis(t);
        let engine = &mut self.engines[n];
        let mut budget = TOKENS_PER_MS;
        while let Some((id, left)) = engine.reading.front_mut() {
            *left -= budget;
            if *left > 0.0 {
                break;
            }
            budget = -*left;
            let id = *id;
            engine.reading.pop_front();
            engine.grants.record_first_event(now, id);
            let arrival = self.calls[&id];
            let class = &CLASSES[arrival.class];
            let end = t + u64::from(class.output) * TOKEN_MS;
            engine.decoding.push((end, id));
            self.outcome.total += cost(class);
            self.service.admitted[arrival.workspace] += cost(class);
            if Duration::from_millis(t - arrival.at) <= class.target {
                self.outcome.served[arrival.workspace] += cost(class);
            } else {
                self.outcome.late += 1;
            }
        }
        let ended = engine.decoding.extract_if(.., |(end, _)| *end <= t);
        let ended: Vec<CallId> = ended.map(|(_, id)| id).collect();
        for id in ended {
            engine.grants.call_ended(now, id, Duration::ZERO);
        }
        if t.is_multiple_of(REPORT_MS) {
            let running = engine.reading.len() + engine.decoding.len();
            let report = EngineReport {
                running_calls: running as u32,
                unread_calls: engine.reading.len() as u32,
                used_tokens: 0,
                total_tokens: 213_031,
                started_at: None,
            };
            engine.grants.update_report(now, report);
        }
        for (id, held) in engine.grants.grant_waiting(now) {
            let class = &CLASSES[self.calls[&id].class];
            let tokens = class.own_tokens + class.shared_tokens - held;
            engine.reading.push_back((id, f64::from(tokens)));
            self.outcome.read += f64::from(tokens);
        }
    }
}

/// The scenario without the calls of the flooding workspace.
pub(crate) fn alone(scenario: &Scenario) -> Scenario {
    Scenario {
        flood: (scenario.flood.0, 0.0),
        ..*scenario
    }
}
