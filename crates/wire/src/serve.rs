//! Answering the calls of the inner protocol.

use futures_util::StreamExt;
use serde::{Serialize, de::DeserializeOwned};
use tarpc::server::{BaseChannel, Channel, Serve};
use tokio::net::TcpListener;

use base::stop::StopSignal;

use crate::Sidecar;
use crate::peer::codec;

/// How long accepting pauses after it failed.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Answers that may wait for the connection to take them before their calls
/// are held back.
const PENDING_LIMIT: usize = 1024;

/// Answers calls on `listener` by `service` until `stop` is asked.
/// Connections already open go on after that, so that answers in progress
/// can still be pulled.
pub async fn serve<S>(listener: TcpListener, service: S, stop: StopSignal)
where
    S: Sidecar + Clone + 'static,
{
    accept(listener, service.serve(), stop).await;
}

/// The same for any set of calls.
pub(crate) async fn accept<S>(listener: TcpListener, serve: S, stop: StopSignal)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + 'static,
    S::Resp: Serialize + 'static,
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
        actix_rt::spawn(connection(stream, serve.clone()));
    }
}

/// Answers the calls of one connection until it closes.
async fn connection<S>(stream: tokio::net::TcpStream, serve: S)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + 'static,
    S::Resp: Serialize + 'static,
{
    let transport = codec::<tarpc::ClientMessage<S::Req>, tarpc::Response<S::Resp>>(stream);
    let config = tarpc::server::Config {
        pending_response_buffer: PENDING_LIMIT,
    };
    let channel = BaseChannel::new(config, transport);
    let mut calls = std::pin::pin!(channel.execute(serve));
    while let Some(call) = calls.next().await {
        actix_rt::spawn(call);
    }
}
