//! Serving the internal protocols over TCP.

use futures_util::StreamExt;
use serde::{Serialize, de::DeserializeOwned};
use tarpc::server::{BaseChannel, Channel, Serve};
use tokio::net::TcpListener;

use base::stop::StopSignal;

use crate::Sidecar;
use crate::peer::codec;

/// Pause before accepting again after `accept` failed.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Number of responses that one connection buffers before further calls on it
/// wait (backpressure).
const PENDING_LIMIT: usize = 1024;

/// Serves the sidecar protocol on `listener` until `stop` is triggered. Open
/// connections stay open after that, so that the remaining chunks of responses
/// in progress can still be pulled.
pub async fn serve<S>(listener: TcpListener, service: S, stop: StopSignal)
where
    S: Sidecar + Clone + 'static,
{
    accept(listener, service.serve(), stop).await;
}

/// Like [`serve`], for any tarpc service.
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
        actix_rt::spawn(serve_connection(stream, serve.clone()));
    }
}

/// Serves the calls of one connection until it closes.
async fn serve_connection<S>(stream: tokio::net::TcpStream, serve: S)
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
