//! `status`: what a daemon believes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::Value;
use snafu::Snafu;

use crate::Outcome;

/// Longest wait for a daemon's answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Show what an entry or a sidecar believes: bundle, peers, load, drains.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(status))]
pub(crate) struct Status {
    /// The daemon's operators' address, as in 127.0.0.1:7101
    #[bpaf(argument("ADDR"))]
    at: SocketAddr,
}

/// Why a daemon's view could not be shown.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display(
        "step={step} peer={peer}: {detail} (hint: give the operators' address of a running daemon)"
    ))]
    Fetch {
        step: &'static str,
        peer: SocketAddr,
        detail: String,
    },
}

impl Status {
    pub(crate) fn run(self) -> Outcome {
        let status = actix_rt::System::new().block_on(fetch(self.at))?;
        println!("{}", serde_json::to_string_pretty(&status)?);
        Ok(ExitCode::SUCCESS)
    }
}

async fn fetch(peer: SocketAddr) -> Result<Value, Error> {
    let fail = |step, detail: String| Error::Fetch { step, peer, detail };
    let http = awc::Client::builder().timeout(TIMEOUT).finish();
    let sent = http.get(format!("http://{peer}/status")).send().await;
    let mut response = sent.map_err(|e| fail("connect", e.to_string()))?;
    if !response.status().is_success() {
        return Err(fail("status", format!("answered {}", response.status())));
    }
    response
        .json()
        .await
        .map_err(|e| fail("read", e.to_string()))
}
