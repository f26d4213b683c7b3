//! Changes of the bundle during a run, and the time until all daemons apply
//! them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::ids::BundleSequence;
use bundle::{Bundle, Content};
use clients::log::LogClient;
use follow::{PublishOutcome, Publisher};
use serde::Deserialize;

use crate::rollout::Rollout;

/// Time limit of a publication's retries, and the interval between them.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Time limit for all daemons to apply a change.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// The part of a daemon's status about the bundle that it applies.
#[derive(Debug, Deserialize)]
struct DaemonStatus {
    sequence: BundleSequence,
}

/// A change of the bundle by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// One operator publishes a bundle.
    Publish,
    /// Two operators publish different bundles at the same time.
    Race,
    /// One operator rolls back to the first version.
    Rollback,
}

/// Makes a change and waits until all daemons apply it. Returns one line with
/// the outcomes and the time it took.
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
        let accepted = outcomes.iter().find_map(|outcome| match outcome {
            PublishOutcome::Accepted(sequence) => Some(*sequence),
            _ => None,
        });
        let Some(sequence) = accepted else {
            return format!("change={change:?} outcomes={outcomes:?} in_force=never");
        };
        match wait_in_force(sequence, daemons).await {
            Some(elapsed) => format!(
                "change={change:?} outcomes={outcomes:?} in_force_everywhere={:.3}s daemons={}",
                elapsed.as_secs_f64(),
                daemons.len()
            ),
            None => format!("change={change:?} outcomes={outcomes:?} in_force=late"),
        }
    })
}

/// Waits until a daemon that was just replaced applies the newest version that
/// any other daemon has. Returns one line with the time it took.
#[must_use]
pub fn wait_for_catch_up(daemon: SocketAddr, others: &[SocketAddr]) -> String {
    actix_rt::System::new().block_on(async {
        let http = awc::Client::default();
        let mut newest = BundleSequence::default();
        for other in others.iter().filter(|o| **o != daemon) {
            newest = newest.max(fetch_sequence(&http, *other).await.unwrap_or_default());
        }
        match wait_in_force(newest, &[daemon]).await {
            Some(elapsed) => format!(
                "replaced={daemon} version={newest} in_force={:.3}s",
                elapsed.as_secs_f64()
            ),
            None => format!("replaced={daemon} version={newest} in_force=late"),
        }
    })
}

/// The bundle with an added, unused workspace, so that it differs from all
/// others.
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

async fn publish(rollout: &Rollout, operator: usize, bundle: &Bundle) -> PublishOutcome {
    let mut bundle = bundle.clone();
    bundle.operators.extend(rollout.operators());
    let content = Content::from_bundle(&bundle);
    publish_with_retries(
        async |publisher| {
            let published = publisher.publish(&rollout.keys[operator], &content, None);
            published.await.unwrap_or(PublishOutcome::Unknown)
        },
        rollout,
    )
    .await
}

async fn rollback(rollout: &Rollout) -> PublishOutcome {
    publish_with_retries(
        async |publisher| {
            let first = BundleSequence(1);
            let Ok(Some(content)) = publisher.version_content(first).await else {
                return PublishOutcome::Unknown;
            };
            let published = publisher.publish(&rollout.keys[0], &content, Some(first));
            published.await.unwrap_or(PublishOutcome::Unknown)
        },
        rollout,
    )
    .await
}

/// Retries while the outcome is unknown, as an operator does who is told to
/// check the log again.
async fn publish_with_retries(
    mut publish: impl AsyncFnMut(&mut Publisher) -> PublishOutcome,
    rollout: &Rollout,
) -> PublishOutcome {
    let started = Instant::now();
    let mut publisher = Publisher::new(LogClient::new(rollout.log), rollout.operators());
    let mut outcome = PublishOutcome::Unknown;
    while outcome == PublishOutcome::Unknown && started.elapsed() < PUBLISH_TIMEOUT {
        if publisher.read_to_end().await.is_ok() {
            outcome = publish(&mut publisher).await;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    outcome
}

/// Waits until all daemons report this version or a later one and returns the
/// time it took; `None` at the timeout.
async fn wait_in_force(target: BundleSequence, daemons: &[SocketAddr]) -> Option<Duration> {
    let started = Instant::now();
    let http = awc::Client::default();
    for daemon in daemons {
        loop {
            let sequence = fetch_sequence(&http, *daemon).await;
            if sequence.is_some_and(|sequence| sequence >= target) {
                break;
            }
            if started.elapsed() > IN_FORCE_TIMEOUT {
                return None;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
    Some(started.elapsed())
}

/// The version that a daemon applies, if it answers.
async fn fetch_sequence(http: &awc::Client, daemon: SocketAddr) -> Option<BundleSequence> {
    let url = format!("http://{daemon}/status");
    let mut answer = http.get(url).send().await.ok()?;
    let status: DaemonStatus = answer.json().await.ok()?;
    Some(status.sequence)
}
