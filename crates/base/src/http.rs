//! Serving an actix-web application on the daemon's thread.
//!
//! The server of actix-web runs applications on worker threads. A daemon keeps
//! its entire state on one thread without locks, so this module accepts the
//! connections itself and passes them to the HTTP service of actix. See
//! docs/DECISIONS/0001-one-thread.md.
//!
//! - [`limits`]: how many connections may be open and what they take.

pub mod limits;

mod connection;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{Extensions, HttpService};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::Error;
use actix_web::dev::{AppConfig, ServiceResponse};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::stop::StopSignal;
use connection::{CallerStream, NewSocket, Socket};
use limits::{Connections, CountedStream, OpenConnection};

/// A new connection on which no request arrives is closed after this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// An idle connection stays open for this time for the caller's next request.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// How long a request that is arriving when the shutdown begins may take to arrive. If its
/// connection were closed at once, a caller could not tell whether the request it just sent
/// was executed.
const REQUEST_GRACE: Duration = Duration::from_millis(200);

/// Pause before accepting again after `accept` failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long the rest of a request is read and discarded after an early answer. A connection
/// that is closed with unread bytes is reset, and the answer may be lost.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of an answer that are buffered for a caller that reads slowly.
const WRITE_BUFFER: usize = 16 << 10;

/// Size of the kernel's buffer for bytes that a connection has received, where connections
/// are limited, in bytes.
const RECEIVE_BUFFER: usize = 64 << 10;

/// Interval of the checks whether all connections are closed.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// Accepts connections until `stop` is triggered, then returns immediately.
/// Idle connections are closed; those with a request in progress continue until
/// the process ends.
///
/// # Errors
///
/// Returns an error when the application cannot be initialised.
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
    serve_limited(listener, app, stop, Connections::unlimited()).await
}

/// Like [`serve`], with a limit on the open connections.
///
/// # Errors
///
/// Returns an error when the application cannot be initialised.
pub async fn serve_limited<F, A, B>(
    listener: TcpListener,
    app: F,
    stop: StopSignal,
    table: Rc<Connections>,
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
    accept(listener, app, stop, table).await?;
    Ok(())
}

/// Accepts connections until `stop` is triggered, then waits for at most
/// `limit` until every response in progress is sent and its connection closed.
///
/// Without this wait, the process could end while its last response is still
/// in the connection's buffer, and the caller would receive it truncated. Idle
/// connections are closed immediately and cause no delay.
///
/// # Errors
///
/// Returns an error when the application cannot be initialised.
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
    serve_limited_and_drain(listener, app, stop, limit, Connections::unlimited()).await
}

/// Like [`serve_and_drain`], with a limit on the open connections.
///
/// # Errors
///
/// Returns an error when the application cannot be initialised.
pub async fn serve_limited_and_drain<F, A, B>(
    listener: TcpListener,
    app: F,
    stop: StopSignal,
    limit: Duration,
    table: Rc<Connections>,
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
    let connections = accept(listener, app, stop, table).await?;
    let closed = async {
        while Rc::strong_count(&connections) > 1 {
            tokio::time::sleep(CLOSE_POLL).await;
        }
    };
    let _ = tokio::time::timeout(limit, closed).await;
    Ok(())
}

/// Accepts connections until `stop` is triggered. Each open connection holds a
/// clone of the returned `Rc`, so its strong count tells how many are open.
async fn accept<F, A, B>(
    listener: TcpListener,
    app: F,
    stop: StopSignal,
    table: Rc<Connections>,
) -> io::Result<Rc<()>>
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
    let (new_socket, closing) = (NewSocket::default(), stop.clone());
    let sockets = new_socket.clone();
    let factory = HttpService::build()
        .client_request_timeout(REQUEST_TIMEOUT)
        .keep_alive(KEEP_ALIVE)
        .client_disconnect_timeout(DISCARD_TIMEOUT)
        .h1_write_buffer_size(WRITE_BUFFER)
        // A caller that closes its side is treated as disconnected. If the
        // connection stayed half open, its request would keep waiting and
        // running unused. Dropping the handler cancels it down to the engine.
        .h1_allow_half_closed(false)
        // Closes idle connections at once, others after the current response.
        .graceful_shutdown_signal(move || sockets.closing(closing.clone()))
        .on_connect_ext(|stream: &CountedStream, data: &mut Extensions| {
            data.insert(Rc::clone(stream.connection()));
        })
        .h1(map_config(app, |()| AppConfig::default()));
    let service = factory.new_service(()).await;
    let service = Rc::new(service.map_err(|()| io::Error::other("step=start_http"))?);

    if table.limited() {
        // Accepted connections inherit the size.
        let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER);
    }

    let connections = Rc::new(());
    let spawn_connection = |stream: TcpStream, open: OpenConnection| {
        // Streamed chunks are small and urgent; with Nagle's algorithm they
        // would wait for the acknowledgement of the previous chunk.
        let _ = stream.set_nodelay(true);
        let (service, stop, connections) =
            (Rc::clone(&service), stop.clone(), Rc::clone(&connections));
        let new_socket = new_socket.clone();
        let socket = Socket::new(stream);
        open.set_socket(&socket);
        actix_rt::spawn(async move {
            let serve = async {
                if has_request(socket.stream(), &stop).await {
                    let peer = socket.stream().peer_addr().ok();
                    new_socket.set(&socket);
                    let stream = open.count_bytes(CallerStream::new(socket));
                    // An error only ends this connection, which the caller notices.
                    let _ = service.call((stream, peer)).await;
                }
            };
            tokio::select! {
                () = serve => {}
                () = open.closed() => {}
            }
            drop((connections, open));
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => break,
        };
        match accepted {
            Ok((stream, _)) => match table.admit_in_turn().await {
                Some(open) => {
                    spawn_connection(stream, open);
                    // A connection that gave way closes before the next one is accepted.
                    if table.is_full() {
                        tokio::task::yield_now().await;
                    }
                }
                None => table.refuse(stream).await,
            },
            // For example out of file descriptors, until other connections close.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }

    // Connections in the kernel's accept queue may already carry a request, and
    // closing the listener would reset them. The runtime may not have seen them
    // yet, so they are accepted directly from the socket.
    let listener = listener.into_std()?;
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        let stream = TcpStream::from_std(stream)?;
        match table.admit_in_turn().await {
            Some(open) => spawn_connection(stream, open),
            None => table.refuse(stream).await,
        }
    }
    Ok(connections)
}

/// Waits for the first bytes of a connection and returns whether they arrived.
/// Without this check, actix keeps a connection that has sent nothing open for
/// the entire request timeout, even during shutdown.
async fn has_request(stream: &TcpStream, stop: &StopSignal) -> bool {
    let readable = tokio::time::timeout(REQUEST_TIMEOUT, stream.readable());
    tokio::select! {
        biased;
        readable = readable => return matches!(readable, Ok(Ok(()))),
        () = stop.wait() => {}
    }
    let readable = tokio::time::timeout(REQUEST_GRACE, stream.readable()).await;
    matches!(readable, Ok(Ok(())))
}
