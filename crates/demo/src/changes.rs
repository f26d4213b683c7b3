//! Changes of the bundle while a demo runs, and how fast they are in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::ids::BundleSequence;
use bundle::{Bundle, Content};
use clients::log::Log;
use follow::{Outcome, Publisher};
use serde::Deserialize;

use crate::rollout::Rollout;

/// How long a publication is tried, and the pause between tries.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// How long every daemon has to come up to a change.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// What a daemon shows of the bundle that it goes by.
#[derive(Debug, Deserialize)]
struct DaemonStatus {
    sequence: BundleSequence,
}

/// What an operator changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// One operator publishes.
    Publish,
    /// Two operators publish at once.
    Race,
    /// One operator goes back to the first version.
    Rollback,
}

/// Makes a change and waits until it is in force everywhere; says how long
/// that took, on one line.
#[must_use]
pub fn apply_change(
    change: Change,
    rollout: &Rollout,
    bundle: &Bundle,
    daemons: &[SocketAddr],
) -> String {
    actix_rt::System::new().block_on(async {
        let outcomes = match change {
            Change::Publish => vec![publish(rollout, 0, &with_marker(bundle, "one")).await],
            Change::Rollback => vec![rollback(rollout).await],
            Change::Race => {
                let (one, two) = (with_marker(bundle, "race-a"), with_marker(bundle, "race-b"));
                let (one, two) = tokio::join!(publish(rollout, 0, &one), publish(rollout, 1, &two));
                vec![one, two]
            }
        };
        let won = outcomes.iter().find_map(|outcome| match outcome {
            Outcome::Accepted(sequence) => Some(*sequence),
            _ => None,
        });
        let Some(sequence) = won else {
            return format!("change={change:?} outcomes={outcomes:?} in_force=never");
        };
        match wait_in_force(sequence, daemons).await {
            Some(took) => format!(
                "change={change:?} outcomes={outcomes:?} in_force_everywhere={:.3}s daemons={}",
                took.as_secs_f64(),
                daemons.len()
            ),
            None => format!("change={change:?} outcomes={outcomes:?} in_force=late"),
        }
    })
}

/// Waits until a daemon that was just replaced goes by the newest version
/// that any of the others has; says how long that took, on one line.
#[must_use]
pub fn wait_for_catch_up(daemon: SocketAddr, others: &[SocketAddr]) -> String {
    actix_rt::System::new().block_on(async {
        let http = awc::Client::default();
        let mut newest = BundleSequence::default();
        for other in others.iter().filter(|o| **o != daemon) {
            newest = newest.max(fetch_sequence(&http, *other).await.unwrap_or_default());
        }
        match wait_in_force(newest, &[daemon]).await {
            Some(took) => format!(
                "replaced={daemon} version={newest} in_force={:.3}s",
                took.as_secs_f64()
            ),
            None => format!("replaced={daemon} version={newest} in_force=late"),
        }
    })
}

/// A bundle that differs from all others by one workspace that nobody uses.
fn with_marker(bundle: &Bundle, mark: &str) -> Bundle {
    let mut bundle = bundle.clone();
    let workspace = bundle::Workspace {
        tokens: [bundle::token_hash(mark)].into(),
        ..bundle::Workspace::default()
    };
    bundle
        .workspaces
        .insert(format!("marked-{mark}"), Arc::new(workspace));
    bundle
}

async fn publish(rollout: &Rollout, operator: usize, bundle: &Bundle) -> Outcome {
    let mut bundle = bundle.clone();
    bundle.operators.extend(rollout.operators());
    let content = Content::of(&bundle);
    publish_with_retries(
        async |publisher| {
            let published = publisher.publish(&rollout.keys[operator], &content, None);
            published.await.unwrap_or(Outcome::Unknown)
        },
        rollout,
    )
    .await
}

async fn rollback(rollout: &Rollout) -> Outcome {
    publish_with_retries(
        async |publisher| {
            let first = BundleSequence(1);
            let Ok(Some(content)) = publisher.content(first).await else {
                return Outcome::Unknown;
            };
            let published = publisher.publish(&rollout.keys[0], &content, Some(first));
            published.await.unwrap_or(Outcome::Unknown)
        },
        rollout,
    )
    .await
}

/// Tries for as long as the outcome is unknown, as an operator who is told to
/// look again does.
async fn publish_with_retries(
    mut publish: impl AsyncFnMut(&mut Publisher) -> Outcome,
    rollout: &Rollout,
) -> Outcome {
    let began = Instant::now();
    let mut publisher = Publisher::new(Log::new(rollout.log), rollout.operators());
    let mut outcome = Outcome::Unknown;
    while outcome == Outcome::Unknown && began.elapsed() < PUBLISH_TIMEOUT {
        if publisher.read().await.is_ok() {
            outcome = publish(&mut publisher).await;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    outcome
}

/// Time until every daemon that answers goes by the version or a later one.
async fn wait_in_force(sought: BundleSequence, daemons: &[SocketAddr]) -> Option<Duration> {
    let began = Instant::now();
    let http = awc::Client::default();
    for daemon in daemons {
        loop {
            let shown = fetch_sequence(&http, *daemon).await;
            if shown.is_some_and(|shown| shown >= sought) {
                break;
            }
            if began.elapsed() > IN_FORCE_TIMEOUT {
                return None;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
    Some(began.elapsed())
}

/// The version that a daemon goes by, if it answers.
async fn fetch_sequence(http: &awc::Client, daemon: SocketAddr) -> Option<BundleSequence> {
    let url = format!("http://{daemon}/status");
    let mut answer = http.get(url).send().await.ok()?;
    let shown: DaemonStatus = answer.json().await.ok()?;
    Some(shown.sequence)
}
