//! What entries tell each other for their duties.
//!
//! Each entry tells the holder and the first few in the order of all what it
//! has counted, so that whoever follows the holder knows it as well. The
//! holder tells everybody that it is there.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::stop::Stop;
use policy::usage::WindowCounts;
use spdlog::{info, warn};
use wire::duties::{self, Counts, Held, Message};

use super::Duties;

/// How often counts are told. An entry that is killed takes along what it has
/// not told yet.
const EVERY: Duration = Duration::from_millis(250);

/// Entries that are told counts beside the holder. Any one of them may follow
/// it without losing what entries counted that have ended.
const TOLD: usize = 6;

/// The pause after hearing failed.
const RETRY: Duration = Duration::from_millis(100);

/// Tells what this entry has counted until `end`.
pub async fn counts(duties: Rc<Duties>, end: Stop) {
    while !end.asked() {
        tokio::time::sleep(EVERY).await;
        duties.tell_counts();
    }
}

/// Hears the others.
pub async fn hear(duties: Rc<Duties>) {
    let mut buffer = vec![0; duties::LARGEST + 1];
    loop {
        let (length, from) = match duties.socket.recv_from(&mut buffer).await {
            Ok(got) => got,
            Err(e) => {
                // An unreachable peer's refusal shows up here; it says
                // nothing about the others.
                metrics::counter!("pimentocart_duty_errors_total").increment(1);
                if e.kind() != io::ErrorKind::ConnectionRefused {
                    tokio::time::sleep(RETRY).await;
                }
                continue;
            }
        };
        match duties::decode(&buffer[..length]) {
            Ok(Message::Counts(counts)) => duties.take_counts(from, counts),
            Ok(Message::Held(held)) => duties.take_held(from, held),
            Err(e) => warn!("duties not understood", kv: {
                peer = from.to_string().as_str(), cause = e.to_string().as_str()
            }),
        }
    }
}

impl Duties {
    /// Tells what this entry has counted.
    fn tell_counts(&self) {
        let (now, time) = (self.clock.lasting(), self.time());
        let told = self
            .books
            .borrow_mut()
            .own_counts(now, time, self.next.get());
        let mut targets: Vec<SocketAddr> = self.peers().iter().take(TOLD).map(|p| p.1).collect();
        targets.extend(self.holder.get().filter(|holder| !targets.contains(holder)));
        for told in told {
            self.send(&targets, &Message::Counts(counts_message(told)));
        }
    }

    /// Tells everybody that this entry holds the duties, or has given them up.
    pub(super) fn tell_held(&self, token: u64, released: bool) {
        let held = Held {
            token,
            end: self.candidate.borrow().log_end(),
            // What the store does not keep yet may be fixed anew by a
            // successor, who needs the counts of all for it.
            next: self.next.get(),
            released,
        };
        let peers: Vec<SocketAddr> = self.peers().into_iter().map(|p| p.1).collect();
        self.send(&peers, &Message::Held(held));
    }

    fn send(&self, targets: &[SocketAddr], message: &Message) {
        for bytes in duties::encode(message) {
            for target in targets {
                // A datagram that cannot be sent is like one that is lost.
                let _ = self.socket.try_send_to(&bytes, *target);
            }
        }
    }

    fn take_counts(&self, from: SocketAddr, counts: Counts) {
        let now = self.clock.lasting();
        if let Some(peer) = self.peers.borrow_mut().get_mut(&from) {
            peer.told = Some(now);
        }
        let told = WindowCounts {
            incarnation: counts.life,
            closed_before: counts.closed,
            window: counts.window,
            total: counts.total,
            counts: counts.counts.into_iter().collect(),
        };
        self.books.borrow_mut().observe(now, told);
    }

    fn take_held(&self, from: SocketAddr, held: Held) {
        let now = self.clock.lasting();
        let mut candidate = self.candidate.borrow_mut();
        if held.end < candidate.log_end() {
            return;
        }
        candidate.observe_record(now, held.end, held.released);
        let holder = (!held.released).then_some(from);
        if self.holder.replace(holder) != holder {
            info!("duties held elsewhere", kv: {
                peer = from.to_string().as_str(), token = held.token, released = held.released
            });
        }
        self.next.set(self.next.get().max(held.next));
    }
}

fn counts_message(told: WindowCounts) -> Counts {
    Counts {
        life: told.incarnation,
        closed: told.closed_before,
        window: told.window,
        total: told.total,
        counts: told.counts.into_iter().collect(),
    }
}
