//! The network between daemons and the store, which can be slow or lose answers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

/// Delay of each read from a slow store.
const DELAY: Duration = Duration::from_millis(300);

/// What happens to the answers of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Answers {
    Pass,
    Slow,
    /// The connection stays open and silent.
    Lost,
    Reset,
}

/// A proxy in front of the store.
#[derive(Clone)]
pub(crate) struct StoreLink(Arc<AtomicU8>);

impl StoreLink {
    /// Starts a proxy of the store; returns it and its address.
    pub(crate) fn start(store: SocketAddr) -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a listener");
        let addr = listener.local_addr().expect("socket has no address");
        let link = Self(Arc::default());
        let own = link.clone();
        thread::spawn(move || {
            for daemon in listener.incoming().flatten() {
                own.forward(daemon, store);
            }
        });
        (link, addr)
    }

    pub(crate) fn set(&self, answers: Answers) {
        self.0.store(answers as u8, Ordering::SeqCst);
    }

    fn is(&self, answers: Answers) -> bool {
        self.0.load(Ordering::SeqCst) == answers as u8
    }

    /// Forwards both directions of a connection; an error ends it.
    fn forward(&self, daemon: TcpStream, store: SocketAddr) -> Option<()> {
        let store = TcpStream::connect(store).ok()?;
        let (from, to) = (daemon.try_clone().ok()?, store.try_clone().ok()?);
        thread::spawn(move || copy(from, to, |_| true));
        let own = self.clone();
        thread::spawn(move || {
            let mut silent = false;
            copy(store, daemon, |daemon| {
                silent |= own.is(Answers::Lost);
                if own.is(Answers::Slow) {
                    thread::sleep(DELAY);
                }
                if own.is(Answers::Reset) {
                    let _ = daemon.shutdown(Shutdown::Both);
                }
                !silent
            });
        });
        Some(())
    }
}

/// Copies the bytes for which `passes` holds.
fn copy(mut from: TcpStream, mut to: TcpStream, mut passes: impl FnMut(&TcpStream) -> bool) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        if passes(&to) && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
