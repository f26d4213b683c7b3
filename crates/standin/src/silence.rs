//! A forwarder whose open connections can go silent for good while new ones
//! work, as when something between two ends has lost track of them.

use std::io;
use std::net::SocketAddr;

use base::stop::Stop;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

use crate::control::Control;

/// What is wrong with a forwarder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Connections open when this number grows carry nothing more. They stay
    /// open on both sides, so neither end hears of it.
    pub silenced: u32,
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
    stop: Stop,
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

async fn forward(mut near: TcpStream, target: SocketAddr, faults: Control<Faults>, stop: Stop) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);

    let born = faults.get().silenced;
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        () = silenced(&faults, born) => {}
    }
    // Both sockets stay open and unread until the end.
    stop.wait().await;
}

async fn silenced(faults: &Control<Faults>, born: u32) {
    while faults.get().silenced == born {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}
