//! The sidecar for routed calls: beside a model engine, it says which call of
//! which entry may be sent there and when. Calls and answers go straight
//! between entry and engine; without the sidecar entries decide by
//! themselves. See docs/DECISIONS/0603-grants.md.
//!
//! - [`settings`]: what the operators set.
//! - [`edge`]: what a platform has to translate for this package.
//! - [`desk`]: answering the entries.
//! - `watch`: following the engine's own report.

pub mod desk;
pub mod edge;
pub mod settings;
mod watch;

use std::io;
use std::rc::Rc;

use base::clock::{Clock, SystemClock};
use base::stop::StopSignal;
use spdlog::info;
use tokio::net::UdpSocket;

use desk::Desk;
use edge::Engine;
pub use settings::Settings;

/// Runs a sidecar until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the sidecar cannot listen.
pub async fn run<E: Engine + 'static>(
    settings: Settings,
    engine: E,
    stop: StopSignal,
) -> io::Result<()> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let socket = UdpSocket::bind(settings.listen).await?;
    let end = StopSignal::new();
    if let Some(addr) = settings.metrics {
        let listener = base::listen("metrics", addr).await?;
        actix_rt::spawn(base::admin::serve_metrics(listener, end.clone()));
    }
    info!("sidecar started", kv: {
        name = settings.name.as_str(),
        listen = settings.listen.to_string().as_str()
    });

    let desk = Desk::new(socket, clock);
    actix_rt::spawn(watch::follow(
        Rc::clone(&desk),
        engine,
        settings.report_every.0,
        end.clone(),
    ));
    actix_rt::spawn(Rc::clone(&desk).tick(end.clone()));
    actix_rt::spawn(Rc::clone(&desk).listen());
    stop.wait().await;
    let waiting = desk.release().await;
    info!("sidecar stopped", kv: { name = settings.name.as_str(), waiting });
    end.trigger();
    Ok(())
}
