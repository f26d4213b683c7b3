//! What a fleet declares and what its callers send.

use std::collections::{BTreeMap, BTreeSet};

use base::ids::Tier;
use base::settings::HumanDuration;
use bundle::{Bundle, Class, EnginePool, Service, Targets, Workspace};
use load::Mix;
use load::arrivals::{Burst, Flow, Kind, Sender};

use crate::fleet::{CALLS, ClassSize, Fleet, WORKSPACES};

/// By how much the bursting class's rate is multiplied.
const BURST_TIMES: f64 = 5.0;

/// Share of callers of lower tiers that take the answer whole.
const WHOLE: f64 = 0.2;

/// Share of callers of lower tiers that go away before the answer ends. Those
/// of the top tier stay, so that each top-tier miss is the router's.
const LEAVING: f64 = 0.005;

/// Share of lower-tier completions that may not run twice.
const ONCE: f64 = 0.05;

/// Targets of plain services' calls, in milliseconds.
const CALL_MS: u64 = 3_000;

/// The bundle that a fleet's operators declare.
#[must_use]
pub fn bundle(fleet: Fleet) -> Bundle {
    let mut bundle = Bundle::default();
    for size in fleet.classes() {
        let class = class(&size, fleet.model());
        bundle.classes.insert(size.name.to_owned(), class);
    }
    let targets = Targets {
        first_token: HumanDuration::ms(CALL_MS),
        token_gap: HumanDuration::ms(CALL_MS),
        full_answer: HumanDuration::ms(CALL_MS),
    };
    let calls = Class {
        tier: Tier(1),
        targets,
        model: fleet.service().to_owned(),
    };
    bundle.classes.insert(fleet.call_class().to_owned(), calls);

    let classes: BTreeSet<_> = bundle.classes.keys().cloned().collect();
    for i in 0..WORKSPACES {
        let workspace = Workspace {
            tokens: BTreeSet::from([bundle::index::token_hash(&token(i))]),
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

/// What a fleet's callers send.
#[must_use]
pub fn mix(fleet: Fleet, seed: u64, seconds: f64, burst: bool) -> Mix {
    let capacity = fleet.engine_rate() * f64::from(fleet.engines());
    let mut classes: BTreeMap<_, _> = fleet
        .classes()
        .iter()
        .map(|size| (size.name.to_owned(), flow(size, capacity)))
        .collect();
    classes.insert(fleet.call_class().to_owned(), calls(fleet));

    let burst = burst.then(|| Burst {
        class: fleet.burst_class().to_owned(),
        times: BURST_TIMES,
        from: seconds / 3.0,
        until: seconds * 2.0 / 3.0,
    });
    Mix {
        fleet: fleet.name().to_owned(),
        seed,
        seconds,
        classes,
        burst,
    }
}

fn class(size: &ClassSize, model: &str) -> Class {
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

fn flow(size: &ClassSize, capacity: f64) -> Flow {
    let lower = |share| if size.tier > 0 { share } else { 0.0 };
    Flow {
        tier: size.tier,
        rate: size.share * capacity / size.cost(),
        kind: Kind::Completion,
        prompt: size.prompt,
        shared: size.shared,
        prefixes: size.prefixes,
        answer: size.answer,
        spread: size.spread,
        workspaces: senders(),
        whole: lower(WHOLE),
        leaving: lower(LEAVING),
        once: lower(ONCE),
        keyed: 0.0,
        first_ms: size.first_ms as f64,
        gap_ms: size.gap_ms as f64,
        whole_ms: size.whole_ms as f64,
    }
}

fn calls(fleet: Fleet) -> Flow {
    Flow {
        tier: 1,
        rate: CALLS,
        kind: Kind::Call {
            service: fleet.service().to_owned(),
        },
        prompt: 0.0,
        shared: 0,
        prefixes: 1,
        answer: 0.0,
        spread: 0.0,
        workspaces: senders(),
        whole: 0.0,
        leaving: 0.0,
        once: 1.0,
        keyed: 1.0,
        first_ms: CALL_MS as f64,
        gap_ms: CALL_MS as f64,
        whole_ms: CALL_MS as f64,
    }
}

/// The workspaces: one large, one middling, the rest small.
fn senders() -> Vec<Sender> {
    let weight = |i| match i {
        0 => 6.0,
        1 => 3.0,
        _ => 1.0,
    };
    let sender = |i| Sender {
        token: token(i),
        weight: weight(i),
    };
    (0..WORKSPACES).map(sender).collect()
}

/// The bearer token of a workspace.
fn token(i: u8) -> String {
    format!("demo-token-{i}")
}
