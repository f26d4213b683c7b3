//! Binding sockets to addresses from the settings.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nix::errno::Errno;
use spdlog::{error, info, warn};
use tokio::net::{TcpListener, UdpSocket};

use crate::clock::Clock;
use crate::logging::limiter::LineLimiter;
use crate::stop::StopSignal;
use crate::task::supervise;

/// Pause between two attempts to bind an address.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Listens on `addr`, which the settings give under `key`, at the first attempt.
///
/// # Errors
///
/// Returns an error that names the key, the address and a hint.
pub async fn listen(key: &str, addr: SocketAddr) -> io::Result<TcpListener> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|e| describe(key, addr, &e))
}

/// Binds the sockets of a daemon and waits for addresses that are not available yet.
///
/// The port of a settings file may be the local port of an outgoing connection, or the
/// predecessor of the process may still use it. See docs/design/host-resources.md.
#[derive(Clone)]
pub struct Binder {
    clock: Rc<dyn Clock>,
    stop: StopSignal,
}

impl Binder {
    /// Creates a binder that waits until `stop` is triggered.
    #[must_use]
    pub fn new(clock: Rc<dyn Clock>, stop: StopSignal) -> Self {
        Self { clock, stop }
    }

    /// Listens on the TCP address `addr`, which the settings give under `key`. Returns
    /// `None` when the daemon is stopped before that.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key, the address and a hint if the address can
    /// never be used.
    pub async fn tcp(&self, key: &str, addr: SocketAddr) -> io::Result<Option<TcpListener>> {
        self.bind(key, addr, Transport::Tcp, || TcpListener::bind(addr))
            .await
    }

    /// Binds a UDP socket to `addr`, as [`Binder::tcp`] does.
    ///
    /// # Errors
    ///
    /// As for [`Binder::tcp`].
    pub async fn udp(&self, key: &str, addr: SocketAddr) -> io::Result<Option<UdpSocket>> {
        self.bind(key, addr, Transport::Udp, || UdpSocket::bind(addr))
            .await
    }

    /// Serves with `serve` on `addr` in the background, as soon as the address can be
    /// bound and until the daemon is stopped. For addresses without which the daemon can
    /// do its work. The settings give `addr` under `key`, which also names the task.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key, the address and a hint if the address can
    /// never be used.
    pub async fn serve_in_background<F, Fut>(
        &self,
        key: &'static str,
        addr: SocketAddr,
        serve: F,
    ) -> io::Result<()>
    where
        F: Fn(TcpListener) -> Fut + 'static,
        Fut: Future<Output = io::Result<()>>,
    {
        let first = match TcpListener::bind(addr).await {
            Ok(listener) => Some(listener),
            Err(e) if BindFailure::of(&e).is_transient() => None,
            Err(e) => return Err(describe(key, addr, &e)),
        };
        let (first, serve) = (Rc::new(Cell::new(first)), Rc::new(serve));
        let binder = self.clone();
        supervise(key, self.stop.clone(), move || {
            let (binder, first, serve) = (binder.clone(), Rc::clone(&first), Rc::clone(&serve));
            async move {
                let listener = match first.take() {
                    Some(listener) => Ok(Some(listener)),
                    None => binder.tcp(key, addr).await,
                };
                let served = match listener {
                    Ok(Some(listener)) => serve(listener).await,
                    Ok(None) => Ok(()),
                    Err(e) => Err(e),
                };
                if let Err(e) = served {
                    error!("address not served", kv: { key, cause = e.to_string().as_str() });
                }
            }
        });
        Ok(())
    }

    async fn bind<T, Fut>(
        &self,
        key: &str,
        addr: SocketAddr,
        transport: Transport,
        attempt: impl Fn() -> Fut,
    ) -> io::Result<Option<T>>
    where
        Fut: Future<Output = io::Result<T>>,
    {
        let start = self.clock.now();
        let limiter = LineLimiter::default();
        let (address, transport) = (addr.to_string(), transport.as_str());
        let mut waited = false;
        while !self.stop.is_triggered() {
            let e = match attempt().await {
                Ok(socket) => {
                    if waited {
                        let waited = self.clock.now().saturating_duration_since(start);
                        info!("address bound after a wait", kv: {
                            key, addr = address.as_str(), transport,
                            waited_ms = waited.as_millis()
                        });
                    }
                    return Ok(Some(socket));
                }
                Err(e) => e,
            };
            let failure = BindFailure::of(&e);
            if !failure.is_transient() {
                return Err(describe(key, addr, &e));
            }
            waited = true;
            if limiter.record(self.clock.now()).is_some() {
                warn!("address not bound; retrying", kv: {
                    key, addr = address.as_str(), transport, cause = e.to_string().as_str(),
                    hint = failure.hint()
                });
            }
            // The signal ends the loop, a timeout starts the next attempt.
            let _ = tokio::time::timeout(RETRY_PAUSE, self.stop.wait()).await;
        }
        Ok(None)
    }
}

/// The protocol of a socket.
#[derive(Debug, Clone, Copy)]
enum Transport {
    Tcp,
    Udp,
}

impl Transport {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Tcp => "tcp",
            Self::Udp => "udp",
        }
    }
}

/// Why an address could not be bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BindFailure {
    /// Another socket uses the port.
    InUse,
    /// The host does not have the address, or not yet.
    NoAddress,
    /// The process or the host has no free descriptors.
    NoDescriptors,
    /// The kernel has no memory for the socket.
    NoMemory,
    /// The process may not use the port.
    Permission,
    /// The address can never be used on this host.
    Invalid,
}

impl BindFailure {
    /// Classifies the error of an attempt to bind an address.
    #[must_use]
    pub fn of(e: &io::Error) -> Self {
        match e.raw_os_error().map(Errno::from_raw) {
            Some(Errno::EADDRINUSE) => Self::InUse,
            Some(Errno::EADDRNOTAVAIL) => Self::NoAddress,
            Some(Errno::EMFILE | Errno::ENFILE) => Self::NoDescriptors,
            Some(Errno::ENOMEM | Errno::ENOBUFS) => Self::NoMemory,
            Some(Errno::EACCES | Errno::EPERM) => Self::Permission,
            _ => Self::Invalid,
        }
    }

    /// Whether a later attempt may succeed without a change of the settings.
    #[must_use]
    pub const fn is_transient(self) -> bool {
        match self {
            Self::InUse | Self::NoAddress | Self::NoDescriptors | Self::NoMemory => true,
            Self::Permission | Self::Invalid => false,
        }
    }

    const fn hint(self) -> &'static str {
        match self {
            Self::InUse => {
                "another process listens there or uses the port for an outgoing connection; \
                 choose a free port outside of net.ipv4.ip_local_port_range"
            }
            Self::NoAddress => "this host does not have the address",
            Self::NoDescriptors => "raise the limit of open files",
            Self::NoMemory => "the host is short of memory",
            Self::Permission => "ports below 1024 need a privilege",
            Self::Invalid => "check the address",
        }
    }
}

/// Adds the step, the key, the address and a hint to an error.
fn describe(key: &str, addr: SocketAddr, e: &io::Error) -> io::Error {
    let hint = BindFailure::of(e).hint();
    let text = format!("step=listen key={key}: found {addr}: {e} (hint: {hint})");
    io::Error::new(e.kind(), text)
}
