//! TCP proxy whose open connections can permanently stop passing data while new
//! connections work, as after a NAT or firewall has dropped their state.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::stop::StopSignal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::control::FaultControl;

/// Size of the buffer of each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Faults and traffic counter of a proxy.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Number whose change permanently stops the traffic of all open connections.
    /// They stay open on both sides, so neither end is notified.
    pub silence_generation: u32,
    /// Bytes forwarded so far, for measurements.
    pub forwarded_bytes: ByteCounter,
}

/// Counter of the bytes forwarded in both directions. Clones share the same
/// counter.
#[derive(Debug, Clone, Default)]
pub struct ByteCounter(Arc<AtomicU64>);

impl ByteCounter {
    /// Returns the number of bytes forwarded so far.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Forwards connections from `listen` to `target` until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the proxy cannot bind its address.
pub async fn run(
    listen: SocketAddr,
    target: SocketAddr,
    faults: FaultControl<Faults>,
    stop: StopSignal,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => return Ok(()),
        };
        if let Ok((stream, _)) = accepted {
            actix_rt::spawn(forward_connection(
                stream,
                target,
                faults.clone(),
                stop.clone(),
            ));
        }
    }
}

/// Forwards one connection until it ends or is silenced.
async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    faults: FaultControl<Faults>,
    stop: StopSignal,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);

    let Faults {
        silence_generation: initial_generation,
        forwarded_bytes,
    } = faults.get();
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let forwarding = async {
        tokio::join!(
            forward_bytes(client_in, server_out, forwarded_bytes.clone()),
            forward_bytes(server_in, client_out, forwarded_bytes.clone())
        )
    };
    let mut forwarding = std::pin::pin!(forwarding);
    tokio::select! {
        _ = &mut forwarding => return,
        () = wait_for_silence(&faults, initial_generation) => {}
    }
    // Both sockets stay open, but unread, until the proxy stops.
    stop.wait().await;
}

/// Copies data until the source ends, then shuts down the write side of the
/// destination.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    forwarded_bytes: ByteCounter,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        forwarded_bytes.0.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}

/// Waits until the silence generation differs from `initial_generation`.
async fn wait_for_silence(faults: &FaultControl<Faults>, initial_generation: u32) {
    while faults.get().silence_generation == initial_generation {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}
