//! Serving an actix-web application on the daemon's own thread.
//!
//! actix-web's own server runs applications on worker threads. A daemon here
//! keeps its whole state on one thread without locks, so it accepts the
//! connections itself and hands them to the library's HTTP service. See
//! docs/DECISIONS/0001-one-thread.md.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::body::MessageBody;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::Error;
use actix_web::dev::{AppConfig, ServiceResponse};
use tokio::net::TcpListener;

use crate::stop::Stop;

/// A caller that opens a connection and sends no request holds it this long.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// An idle connection is kept this long for a caller's next request.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// How long accepting pauses after it failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` is asked; returns at once then, while
/// connections already open go on until they end by themselves.
///
/// # Errors
///
/// Returns the error when the application cannot be set up.
pub async fn serve<F, A, B>(listener: TcpListener, app: F, stop: Stop) -> io::Result<()>
where
    F: IntoServiceFactory<A, actix_http::Request> + 'static,
    A: ServiceFactory<
            actix_http::Request,
            Config = AppConfig,
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    B: MessageBody + 'static,
{
    let factory = HttpService::build()
        .client_request_timeout(REQUEST_TIMEOUT)
        .keep_alive(KEEP_ALIVE)
        // A caller that closes its side has gone away. Kept half open, its
        // request would go on waiting and running for nobody; dropping the
        // handler at once is enough, since that cancels down to the engine.
        .h1_allow_half_closed(false)
        .h1(map_config(app, |()| AppConfig::default()))
        .tcp();
    let service = factory.new_service(()).await;
    let service = Rc::new(service.map_err(|()| io::Error::other("step=start_http"))?);

    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => return Ok(()),
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors, for one: others may close meanwhile.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Pieces are small and wanted at once, so they must not wait for an
        // acknowledgement of the piece before.
        let _ = stream.set_nodelay(true);
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            // An error here ends this one connection; its caller sees that.
            let _ = service.call(stream).await;
        });
    }
}
