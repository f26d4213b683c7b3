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
use tokio::net::{TcpListener, TcpStream};

use crate::stop::StopSignal;

/// A caller that opens a connection and sends no request holds it this long.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// An idle connection is kept this long for a caller's next request.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// How long connections that were made just before the stop may still send
/// their first request. Closed at once, they would look to their callers like
/// a request that went out and was lost.
const LAST_REQUEST: Duration = Duration::from_millis(200);

/// How long accepting pauses after it failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How often the end of the last connections is looked for.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// Accepts connections until `stop` is asked and returns at once then. Idle
/// connections close, and those with a request in progress go on for as long
/// as the process does.
///
/// # Errors
///
/// Returns the error when the application cannot be set up.
pub async fn serve<F, A, B>(listener: TcpListener, app: F, stop: StopSignal) -> io::Result<()>
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
    accept(listener, app, stop).await?;
    Ok(())
}

/// Accepts connections until `stop` is asked, then waits until every answer
/// in progress has left whole and its connection is closed, for `limit` at
/// the most.
///
/// Without this wait a process that has made its last answer would end while
/// that answer still stands in the connection's buffer, and its caller would
/// see it cut. Idle connections are closed at once, so they hold nothing up.
///
/// # Errors
///
/// Returns the error when the application cannot be set up.
pub async fn serve_and_drain<F, A, B>(
    listener: TcpListener,
    app: F,
    stop: StopSignal,
    limit: Duration,
) -> io::Result<()>
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
    let open = accept(listener, app, stop).await?;
    let closed = async {
        while Rc::strong_count(&open) > 1 {
            tokio::time::sleep(CLOSE_POLL).await;
        }
    };
    let _ = tokio::time::timeout(limit, closed).await;
    Ok(())
}

/// Accepts connections until `stop` is asked. Each connection that is open
/// holds a clone of the result.
async fn accept<F, A, B>(listener: TcpListener, app: F, stop: StopSignal) -> io::Result<Rc<()>>
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
    let closing = stop.clone();
    let closing = move || {
        let closing = closing.clone();
        async move { closing.wait().await }
    };
    let factory = HttpService::build()
        .client_request_timeout(REQUEST_TIMEOUT)
        .keep_alive(KEEP_ALIVE)
        // A caller that closes its side has gone away. Kept half open, its
        // request would go on waiting and running for nobody; dropping the
        // handler at once is enough, since that cancels down to the engine.
        .h1_allow_half_closed(false)
        // Closes idle connections, and others after the answer in progress.
        .graceful_shutdown_signal(closing)
        .h1(map_config(app, |()| AppConfig::default()))
        .tcp();
    let service = factory.new_service(()).await;
    let service = Rc::new(service.map_err(|()| io::Error::other("step=start_http"))?);

    let open = Rc::new(());
    let take = |stream: TcpStream| {
        // Pieces are small and wanted at once, so they must not wait for an
        // acknowledgement of the piece before.
        let _ = stream.set_nodelay(true);
        let (service, stop, open) = (Rc::clone(&service), stop.clone(), Rc::clone(&open));
        actix_rt::spawn(async move {
            if begun(&stream, &stop).await {
                // An error here ends this one connection; its caller sees that.
                let _ = service.call(stream).await;
            }
            drop(open);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => break,
        };
        match accepted {
            Ok((stream, _)) => take(stream),
            // Out of file descriptors, for one: others may close meanwhile.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }

    // Connections that the system made for us already may have brought a
    // request; closing the listener would reset them. The runtime may not
    // have heard of them yet, so the system is asked.
    let listener = listener.into_std()?;
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        take(TcpStream::from_std(stream)?);
    }
    Ok(open)
}

/// Waits for a connection's first bytes. The library keeps a connection that
/// has sent nothing for the whole request timeout, also when it is closing.
async fn begun(stream: &TcpStream, stop: &StopSignal) -> bool {
    let readable = tokio::time::timeout(REQUEST_TIMEOUT, stream.readable());
    tokio::select! {
        biased;
        readable = readable => return matches!(readable, Ok(Ok(()))),
        () = stop.wait() => {}
    }
    let readable = tokio::time::timeout(LAST_REQUEST, stream.readable()).await;
    matches!(readable, Ok(Ok(())))
}
