//! Answering the calls of the inner protocol.

use futures_util::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;

use base::stop::Stop;

use crate::peer::codec;
use crate::{Sidecar, SidecarRequest, SidecarResponse};

/// How long accepting pauses after it failed.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Answers that may wait for the connection to take them before their calls
/// are held back.
const PENDING_LIMIT: usize = 1024;

/// Answers calls on `listener` by `service` until `stop` is asked.
/// Connections already open go on after that, so that answers in progress
/// can still be pulled.
pub async fn serve<S>(listener: TcpListener, service: S, stop: Stop)
where
    S: Sidecar + Clone + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        actix_rt::spawn(connection(stream, service.clone()));
    }
}

/// Answers the calls of one connection until it closes.
async fn connection<S>(stream: tokio::net::TcpStream, service: S)
where
    S: Sidecar + Clone + 'static,
{
    let transport =
        codec::<tarpc::ClientMessage<SidecarRequest>, tarpc::Response<SidecarResponse>>(stream);
    let config = tarpc::server::Config {
        pending_response_buffer: PENDING_LIMIT,
    };
    let channel = BaseChannel::new(config, transport);
    let mut calls = std::pin::pin!(channel.execute(service.serve()));
    while let Some(call) = calls.next().await {
        actix_rt::spawn(call);
    }
}
