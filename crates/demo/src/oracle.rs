//! What an oracle could make of a load, by arithmetic.
//!
//! One fluid server has the whole fleet's capacity. It serves tier by tier
//! and within a tier by the earliest due time; a request that has not begun
//! by its first-token target is dropped before any work. It needs one step of
//! a slot for each token and one for the prompt, as if every prefix were
//! cached. No placement, no batch and no unknown length stands in its way, so
//! it bounds what any router can reach from above, but for the order in which
//! it serves.

use std::collections::BTreeMap;

use load::Workload;
use load::arrivals::RequestKind;

use crate::Options;
use crate::faults::Fault;

/// One step of the arithmetic, in seconds.
const TIME_STEP_S: f64 = 0.05;

/// What an oracle could make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Oracle {
    /// Tokens a second of all engines at the start of the run.
    pub capacity: f64,
    /// Tokens a second that callers ask for, over the whole run.
    pub offered: f64,
    /// Tokens a second of answers in target.
    pub goodput: f64,
}

/// A request that waits, in order of tier and due time.
type QueueKey = (u8, u64, usize);

/// Works out what an oracle could make of a run.
#[must_use]
pub fn oracle(options: &Options, workload: &Workload) -> Oracle {
    let arrivals: Vec<_> = workload
        .arrivals()
        .into_iter()
        .filter(|a| a.kind == RequestKind::Completion)
        .collect();
    let offered: f64 = arrivals.iter().map(|a| f64::from(a.answer_tokens)).sum();

    let mut waiting: BTreeMap<QueueKey, f64> = BTreeMap::new();
    let (mut next, mut now, mut done, mut room) = (0, 0.0, 0.0, 0.0);
    while next < arrivals.len() || !waiting.is_empty() {
        now += TIME_STEP_S;
        while let Some(arrival) = arrivals.get(next).filter(|a| a.at.as_secs_f64() < now) {
            let flow = &workload.classes[&arrival.class];
            let due = arrival.at.as_secs_f64() * 1000.0 + flow.first_ms;
            let key = (flow.tier, whole(due), next);
            waiting.insert(key, f64::from(arrival.answer_tokens));
            next += 1;
        }
        let late = whole((now - TIME_STEP_S) * 1000.0);
        waiting.retain(|(_, due, _), _| *due >= late);

        // Room left over at the end of a slice is lost; work begun is paid
        // for by the slices after it.
        room = f64::min(room, 0.0) + capacity(options, now) * TIME_STEP_S;
        while room > 0.0 {
            let Some((_, answer)) = waiting.pop_first() else {
                break;
            };
            room -= answer + 1.0;
            done += answer;
        }
    }
    Oracle {
        capacity: capacity(options, 0.0),
        offered: offered / workload.seconds,
        goodput: done / workload.seconds,
    }
}

/// Tokens a second of all engines at a time of the run, in seconds, without
/// those lost to stragglers and crashes.
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
fn whole(ms: f64) -> u64 {
    ms.max(0.0) as u64
}
