//! A caller's connection: whether a request is arriving on it, and its orderly close.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::{CLOSE_POLL, REQUEST_GRACE};
use crate::stop::StopSignal;

/// How long a closed connection is still read. If it were closed with unread bytes, the kernel
/// would reset it and discard what the caller has not received yet of the last answer.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The socket of a connection, and the direction in which it was used last.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    /// Whether bytes were written since the last ones were read.
    answered: Cell<bool>,
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Rc<Self> {
        let answered = Cell::new(false);
        Rc::new(Self { stream, answered })
    }

    /// Waits until no request is arriving, for at most [`REQUEST_GRACE`].
    async fn wait_quiet(&self) {
        let quiet = async {
            while !self.is_quiet() {
                sleep(CLOSE_POLL).await;
            }
        };
        let _ = tokio::time::timeout(REQUEST_GRACE, quiet).await;
    }

    /// Whether all that has arrived was read and answered, at least in part.
    fn is_quiet(&self) -> bool {
        self.answered.get() && !self.has_unread()
    }

    /// Whether bytes have arrived that were not read. The kernel is asked, since the runtime
    /// may not have seen the latest ones.
    pub(super) fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let unread = SockRef::from(&self.stream).peek(&mut byte);
        matches!(unread, Ok(1..))
    }

    pub(super) const fn stream(&self) -> &TcpStream {
        &self.stream
    }
}

/// Hands each new connection's socket to the signal that closes it, which the HTTP service
/// creates without an argument.
#[derive(Debug, Clone, Default)]
pub(super) struct NewSocket(Rc<RefCell<Option<Rc<Socket>>>>);

impl NewSocket {
    pub(super) fn set(&self, socket: &Rc<Socket>) {
        *self.0.borrow_mut() = Some(Rc::clone(socket));
    }

    /// Completes when the connection whose socket was set last takes no further request:
    /// after `stop`, once no request is arriving.
    pub(super) fn closing(&self, stop: StopSignal) -> impl Future<Output = ()> + use<> {
        let socket = self.0.borrow_mut().take();
        async move {
            stop.wait().await;
            if let Some(socket) = socket {
                socket.wait_quiet().await;
            }
        }
    }
}

/// A caller's connection, as the HTTP service reads and writes it.
#[derive(Debug)]
pub(super) struct CallerStream {
    socket: Rc<Socket>,
    /// Set once the writing side is closed; ends the wait for the caller's close.
    linger: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(super) fn new(socket: Rc<Socket>) -> Self {
        let linger = None;
        Self { socket, linger }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.socket.stream;
        loop {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read_buf(buf) {
                Ok(n) => {
                    if n > 0 {
                        self.socket.answered.set(false);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.socket.stream;
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match stream.try_write(bytes) {
                Ok(n) => {
                    self.socket.answered.set(true);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Closes the writing side, then discards what arrives until the caller closes its side or
    /// [`LINGER_TIMEOUT`] has passed.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            SockRef::from(&self.socket.stream).shutdown(Shutdown::Write)?;
            self.linger = Some(Box::pin(sleep(LINGER_TIMEOUT)));
        }
        let linger = self.linger.as_mut().map(|sleep| sleep.as_mut().poll(cx));
        if linger.is_some_and(|ended| ended.is_ready()) {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [0; 1024];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            ready!(self.as_mut().poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
