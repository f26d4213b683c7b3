//! A forwarder whose open connections can go silent for good while new ones
//! work, as when something between two ends has lost track of them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::stop::StopSignal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::control::Control;

/// Most bytes passed on at once.
const BUFFER: usize = 64 << 10;

/// What is wrong with a forwarder.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Connections open when this number grows carry nothing more. They stay
    /// open on both sides, so neither end hears of it.
    pub silenced: u32,
    /// What passed, for measuring.
    pub bytes: Bytes,
}

/// Bytes that a forwarder passed on in both directions; clones share one
/// count.
#[derive(Debug, Clone, Default)]
pub struct Bytes(Arc<AtomicU64>);

impl Bytes {
    /// All bytes so far.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Forwards connections from `listen` to `target` until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the forwarder cannot listen.
pub async fn run(
    listen: SocketAddr,
    target: SocketAddr,
    faults: Control<Faults>,
    stop: StopSignal,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => return Ok(()),
        };
        if let Ok((stream, _)) = accepted {
            actix_rt::spawn(forward(stream, target, faults.clone(), stop.clone()));
        }
    }
}

async fn forward(near: TcpStream, target: SocketAddr, faults: Control<Faults>, stop: StopSignal) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);

    let Faults {
        silenced: born,
        bytes,
    } = faults.get();
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let passed = async {
        tokio::join!(
            pass(near_in, far_out, bytes.clone()),
            pass(far_in, near_out, bytes.clone())
        )
    };
    let mut passed = std::pin::pin!(passed);
    tokio::select! {
        _ = &mut passed => return,
        () = silenced(&faults, born) => {}
    }
    // Both sockets stay open and unread until the end.
    stop.wait().await;
}

/// Passes on what comes in until it ends, then closes the way out.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Bytes) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        bytes.0.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}

async fn silenced(faults: &Control<Faults>, born: u32) {
    while faults.get().silenced == born {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}
