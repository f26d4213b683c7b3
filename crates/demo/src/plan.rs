//! The bundle and the workload of a fleet.

use std::collections::{BTreeMap, BTreeSet};

use base::ids::Tier;
use base::settings::HumanDuration;
use bundle::{Bundle, Class, EnginePool, Service, Targets, Workspace};
use load::Workload;
use load::arrivals::{Burst, ClassWorkload, RequestKind, WeightedWorkspace};

use crate::fleet::{CALLS_PER_SECOND, ClassProfile, Fleet, WORKSPACE_COUNT};

/// Factor by which a burst multiplies its class's rate.
const BURST_FACTOR: f64 = 5.0;

/// Share of lower-tier requests whose answer is not streamed.
const NONSTREAMING_SHARE: f64 = 0.2;

/// Share of lower-tier callers that disconnect before the answer ends.
/// Top-tier callers never do, so that the router is the cause of every
/// top-tier miss.
const ABANDON_SHARE: f64 = 0.005;

/// Share of lower-tier completions that must not run twice.
const NONREPEATABLE_SHARE: f64 = 0.05;

/// All latency targets of plain services' calls, in milliseconds.
const CALL_TARGET_MS: u64 = 3_000;

/// The bundle that a fleet's operators publish.
#[must_use]
pub fn bundle(fleet: Fleet) -> Bundle {
    let mut bundle = Bundle::default();
    for size in fleet.classes() {
        let class = completion_class(&size, fleet.model());
        bundle.classes.insert(size.name.to_owned(), class);
    }
    let targets = Targets {
        first_token: HumanDuration::ms(CALL_TARGET_MS),
        token_gap: HumanDuration::ms(CALL_TARGET_MS),
        full_answer: HumanDuration::ms(CALL_TARGET_MS),
    };
    let calls = Class {
        tier: Tier(1),
        targets,
        model: fleet.service().to_owned(),
    };
    bundle.classes.insert(fleet.call_class().to_owned(), calls);

    let classes: BTreeSet<_> = bundle.classes.keys().cloned().collect();
    for i in 0..WORKSPACE_COUNT {
        let workspace = Workspace {
            tokens: BTreeSet::from([bundle::index::token_hash(&workspace_token(i))]),
            classes: classes.clone(),
            weight: 1,
        };
        bundle
            .workspaces
            .insert(format!("workspace-{i}"), workspace.into());
    }

    let model = fleet.model().to_owned();
    bundle.models.insert(model, EnginePool::default());
    let service = Service {
        class: fleet.call_class().to_owned(),
        idempotent: false,
    };
    bundle.services.insert(fleet.service().to_owned(), service);
    bundle
}

/// The workload of a fleet's callers.
#[must_use]
pub fn workload(fleet: Fleet, seed: u64, seconds: f64, burst: bool) -> Workload {
    let capacity = fleet.engine_rate() * f64::from(fleet.engine_count());
    let mut classes: BTreeMap<_, _> = fleet
        .classes()
        .iter()
        .map(|size| (size.name.to_owned(), completion_workload(size, capacity)))
        .collect();
    classes.insert(fleet.call_class().to_owned(), call_workload(fleet));

    let burst = burst.then(|| Burst {
        class: fleet.burst_class().to_owned(),
        factor: BURST_FACTOR,
        from: seconds / 3.0,
        until: seconds * 2.0 / 3.0,
    });
    Workload {
        fleet: fleet.name().to_owned(),
        seed,
        seconds,
        classes,
        burst,
    }
}

fn completion_class(size: &ClassProfile, model: &str) -> Class {
    let targets = Targets {
        first_token: HumanDuration::ms(size.first_ms),
        token_gap: HumanDuration::ms(size.gap_ms),
        full_answer: HumanDuration::ms(size.whole_ms),
    };
    Class {
        tier: Tier(size.tier),
        targets,
        model: model.to_owned(),
    }
}

fn completion_workload(size: &ClassProfile, capacity: f64) -> ClassWorkload {
    let lower_tier = |share| if size.tier > 0 { share } else { 0.0 };
    ClassWorkload {
        tier: size.tier,
        rate: size.share * capacity / size.mean_steps(),
        kind: RequestKind::Completion,
        prompt_tokens: size.prompt_tokens,
        prefix_tokens: size.prefix_tokens,
        prefix_count: size.prefix_count,
        answer_tokens: size.answer_tokens,
        sigma: size.sigma,
        workspaces: weighted_workspaces(),
        nonstreaming_share: lower_tier(NONSTREAMING_SHARE),
        abandon_share: lower_tier(ABANDON_SHARE),
        nonrepeatable_share: lower_tier(NONREPEATABLE_SHARE),
        keyed_share: 0.0,
        first_ms: size.first_ms as f64,
        gap_ms: size.gap_ms as f64,
        whole_ms: size.whole_ms as f64,
    }
}

fn call_workload(fleet: Fleet) -> ClassWorkload {
    ClassWorkload {
        tier: 1,
        rate: CALLS_PER_SECOND,
        kind: RequestKind::Call {
            service: fleet.service().to_owned(),
        },
        prompt_tokens: 0.0,
        prefix_tokens: 0,
        prefix_count: 1,
        answer_tokens: 0.0,
        sigma: 0.0,
        workspaces: weighted_workspaces(),
        nonstreaming_share: 0.0,
        abandon_share: 0.0,
        nonrepeatable_share: 1.0,
        keyed_share: 1.0,
        first_ms: CALL_TARGET_MS as f64,
        gap_ms: CALL_TARGET_MS as f64,
        whole_ms: CALL_TARGET_MS as f64,
    }
}

/// The workspaces: one large, one medium, the rest small.
fn weighted_workspaces() -> Vec<WeightedWorkspace> {
    let weight = |i| match i {
        0 => 6.0,
        1 => 3.0,
        _ => 1.0,
    };
    let sender = |i| WeightedWorkspace {
        token: workspace_token(i),
        weight: weight(i),
    };
    (0..WORKSPACE_COUNT).map(sender).collect()
}

/// The bearer token of a workspace.
fn workspace_token(i: u8) -> String {
    format!("demo-token-{i}")
}
