//! An upper bound of the goodput that any router can reach on a workload, by
//! simulation of a fluid model.
//!
//! A single fluid server has the capacity of the whole fleet. It serves by
//! tier, and within a tier by earliest deadline. A request that has not started
//! by its first-token target is dropped before any work. A request costs one
//! step of a slot per answer token and one for the prompt, as if every prefix
//! were cached. The model has no placement, no batching and no unknown answer
//! lengths. It is therefore an upper bound for all routers that serve in the
//! same order; another order could reach more.

use std::collections::BTreeMap;

use load::Workload;
use load::arrivals::RequestKind;

use crate::Options;
use crate::faults::Fault;

/// Time step of the simulation, in seconds.
const TIME_STEP_S: f64 = 0.05;

/// The result of the simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Oracle {
    /// Capacity of all engines at the start of the run, in tokens per second.
    pub capacity: f64,
    /// Requested answer tokens per second, over the whole run.
    pub offered: f64,
    /// Tokens per second of answers that met their targets.
    pub goodput: f64,
}

/// Priority of a waiting request: tier, deadline in milliseconds, index.
type QueueKey = (u8, u64, usize);

/// Simulates the oracle on a run's workload.
#[must_use]
pub fn oracle(options: &Options, workload: &Workload) -> Oracle {
    let arrivals: Vec<_> = workload
        .arrivals()
        .into_iter()
        .filter(|a| a.kind == RequestKind::Completion)
        .collect();
    let offered: f64 = arrivals.iter().map(|a| f64::from(a.answer_tokens)).sum();

    let mut waiting: BTreeMap<QueueKey, f64> = BTreeMap::new();
    let (mut next, mut now, mut served, mut budget) = (0, 0.0, 0.0, 0.0);
    while next < arrivals.len() || !waiting.is_empty() {
        now += TIME_STEP_S;
        while let Some(arrival) = arrivals.get(next).filter(|a| a.at.as_secs_f64() < now) {
            let class = &workload.classes[&arrival.class];
            let deadline = arrival.at.as_secs_f64() * 1000.0 + class.first_ms;
            let key = (class.tier, millis(deadline), next);
            waiting.insert(key, f64::from(arrival.answer_tokens));
            next += 1;
        }
        let expired = millis((now - TIME_STEP_S) * 1000.0);
        waiting.retain(|(_, deadline, _), _| *deadline >= expired);

        // Capacity left over at the end of a time step is lost. The excess of
        // a request that was started is deducted from the following steps.
        budget = f64::min(budget, 0.0) + capacity(options, now) * TIME_STEP_S;
        while budget > 0.0 {
            let Some((_, answer)) = waiting.pop_first() else {
                break;
            };
            budget -= answer + 1.0;
            served += answer;
        }
    }
    Oracle {
        capacity: capacity(options, 0.0),
        offered: offered / workload.seconds,
        goodput: served / workload.seconds,
    }
}

/// Capacity of all engines in tokens per second at time `now`, in seconds,
/// reduced by stragglers and crashes.
fn capacity(options: &Options, now: f64) -> f64 {
    let mut pace = vec![1.0; usize::from(options.fleet.engine_count())];
    for event in options.fault_plan().events {
        if event.at.0.as_secs_f64() > now {
            continue;
        }
        match event.fault {
            Fault::Straggler { server, pace: p } if server < pace.len() => pace[server] = 1.0 / p,
            Fault::CrashHost {
                server,
                restart_after: None,
            }
            | Fault::CrashBackend {
                server,
                restart_after: None,
            } if server < pace.len() => {
                pace[server] = 0.0;
            }
            _ => {}
        }
    }
    pace.iter().sum::<f64>() * options.fleet.engine_rate()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of a run in milliseconds are small and positive"
)]
fn millis(ms: f64) -> u64 {
    ms.max(0.0) as u64
}
