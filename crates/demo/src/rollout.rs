//! The platform's log in a demo, and publishing the bundle through it.

use std::net::SocketAddr;
use std::time::Duration;

use bundle::{Bundle, Content, Operators, SecretKey};
use clients::log::LogClient;
use follow::{PublishOutcome, Publisher};
use spdlog::{debug, error};
use standin::FaultControl;
use standin::log::{Faults, Settings};

use crate::daemon::Daemon;

/// Number of attempts to publish or to find a daemon ready, and the interval
/// between them.
const MAX_ATTEMPTS: u32 = 500;
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The log of a demo and the operators who publish to it.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// Address at which the log listens.
    pub log: SocketAddr,
    /// The control of the log's faults.
    pub faults: FaultControl<Faults>,
    /// Keys of two authorized operators; two, so that they can publish
    /// concurrently.
    pub keys: [SecretKey; 2],
}

impl Rollout {
    /// Configures a log and generates the operators' keys.
    #[must_use]
    pub fn new(log: SocketAddr) -> Self {
        Self {
            log,
            faults: FaultControl::default(),
            keys: [SecretKey::random("awa"), SecretKey::random("luz")],
        }
    }

    /// Starts the log.
    #[must_use]
    pub fn start(&self) -> Daemon {
        let settings = Settings {
            listen: self.log,
            faults: Faults::default(),
        };
        let faults = self.faults.clone();
        Daemon::start("log", move |stop| {
            standin::log::run(settings.clone(), faults.clone(), stop)
        })
    }

    /// The daemons' settings for following the log.
    #[must_use]
    pub fn follow_settings(&self) -> follow::Settings {
        follow::Settings::new(self.log, self.operators())
    }

    /// Publishes the first bundle and waits until every daemon is ready.
    pub fn publish_initial(&self, bundle: &Bundle, daemons: &[SocketAddr]) {
        actix_rt::System::new().block_on(async {
            self.publish_until_accepted(bundle).await;
            wait_until_ready(daemons).await;
        });
    }

    /// Retries until the log accepts the bundle, since the log may still be
    /// starting.
    async fn publish_until_accepted(&self, bundle: &Bundle) {
        for _ in 0..MAX_ATTEMPTS {
            if matches!(self.publish(bundle).await, PublishOutcome::Accepted(_)) {
                return;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        error!("bundle not published", kv: { log = self.log.to_string().as_str() });
    }

    /// Publishes a bundle, signed by the first operator. Adds the demo's
    /// operators to those that the bundle names.
    pub async fn publish(&self, bundle: &Bundle) -> PublishOutcome {
        let mut bundle = bundle.clone();
        bundle.operators.extend(self.operators());
        let mut publisher = Publisher::new(LogClient::new(self.log), self.operators());
        if let Err(e) = publisher.read_to_end().await {
            debug!("reading the bundle log failed", kv: { error = e.to_string().as_str() });
            return PublishOutcome::Unknown;
        }
        let content = Content::from_bundle(&bundle);
        let published = publisher.publish(&self.keys[0], &content, None).await;
        published.unwrap_or(PublishOutcome::Unknown)
    }

    /// The authorized operators.
    #[must_use]
    pub fn operators(&self) -> Operators {
        let pair = |k: &SecretKey| (k.operator.clone(), k.public_key.clone());
        self.keys.iter().map(pair).collect()
    }
}

/// Waits until every daemon reports readiness at its operators' address.
pub async fn wait_until_ready(daemons: &[SocketAddr]) {
    let http = awc::Client::default();
    for daemon in daemons {
        let url = format!("http://{daemon}/health/ready");
        for _ in 0..MAX_ATTEMPTS {
            let answer = http.get(&url).send().await;
            if answer.is_ok_and(|a| a.status().is_success()) {
                break;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}
