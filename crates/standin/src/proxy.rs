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

use crate::control::FaultControl;

/// Most forwarded_bytes forwarding on at once.
const BUFFER_BYTES: usize = 64 << 10;

/// What is wrong with a forwarder.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Connections open when this number grows carry nothing more. They stay
    /// open on both sides, so neither end hears of it.
    pub silence_generation: u32,
    /// What forwarding, for measuring.
    pub forwarded_bytes: ByteCounter,
}

/// ByteCounter that a forwarder forwarding on in both directions; clones share one
/// count.
#[derive(Debug, Clone, Default)]
pub struct ByteCounter(Arc<AtomicU64>);

impl ByteCounter {
    /// All forwarded_bytes so server.
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
    // Both sockets stay open and unread until the end.
    stop.wait().await;
}

/// Passes on what comes in until it ends, then closes the way out.
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

async fn wait_for_silence(faults: &FaultControl<Faults>, initial_generation: u32) {
    while faults.get().silence_generation == initial_generation {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}
