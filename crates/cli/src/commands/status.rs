//! `status`: prints the current state of a daemon.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::Value;
use snafu::Snafu;

use crate::CommandResult;

/// Timeout of the request to the daemon.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Show the state of an entry or a sidecar: bundle, peers, load, drains.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(status))]
pub(crate) struct Status {
    /// Address at which the daemon answers operators, as in 127.0.0.1:7101
    #[bpaf(argument("ADDR"))]
    at: SocketAddr,
}

/// Why a daemon's state could not be fetched.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display(
        "step={step} peer={peer}: {detail} (hint: use the operators' address of a running daemon)"
    ))]
    Fetch {
        step: &'static str,
        peer: SocketAddr,
        detail: String,
    },
}

impl Status {
    pub(crate) fn run(self) -> CommandResult {
        let status = actix_rt::System::new().block_on(fetch_status(self.at))?;
        println!("{}", serde_json::to_string_pretty(&status)?);
        Ok(ExitCode::SUCCESS)
    }
}

async fn fetch_status(peer: SocketAddr) -> Result<Value, Error> {
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
