//! What entries tell each other for their duties.
//!
//! Each entry tells the holder and the first few in the order of all what it
//! has counted, so that whoever follows the holder knows it as well. The
//! holder tells everybody that it is there.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use policy::usage::WindowCounts;
use spdlog::{info, warn};
use wire::duties::{self, HolderNotice, Message, UsageCounts};

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
pub async fn send_counts(duties: Rc<Duties>, end: StopSignal) {
    while !end.is_triggered() {
        tokio::time::sleep(EVERY).await;
        duties.tell_counts();
    }
}

/// Hears the others.
pub async fn receive(duties: Rc<Duties>) {
    let mut buffer = vec![0; duties::MAX_DATAGRAM_BYTES + 1];
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
            Ok(Message::Holder(held)) => duties.take_held(from, held),
            Err(e) => warn!("duties not understood", kv: {
                peer = from.to_string().as_str(), cause = e.to_string().as_str()
            }),
        }
    }
}

impl Duties {
    /// Tells what this entry has counted.
    fn tell_counts(&self) {
        let (now, time) = (self.clock.now_boottime(), self.time());
        let told = self
            .counter
            .borrow_mut()
            .own_counts(now, time, self.next_window.get());
        let mut targets: Vec<SocketAddr> = self.peers().iter().take(TOLD).map(|p| p.1).collect();
        targets.extend(self.holder.get().filter(|holder| !targets.contains(holder)));
        for told in told {
            self.send(&targets, &Message::Counts(counts_message(told)));
        }
    }

    /// Tells everybody that this entry holds the duties, or has given them up.
    pub(super) fn tell_held(&self, fencing_token: u64, released: bool) {
        let held = HolderNotice {
            fencing_token,
            log_end: self.candidate.borrow().log_end(),
            // What the store does not keep yet may be fixed anew by a
            // successor, who needs the counts of all for it.
            next_window: self.next_window.get(),
            released,
        };
        let peers: Vec<SocketAddr> = self.peers().into_iter().map(|p| p.1).collect();
        self.send(&peers, &Message::Holder(held));
    }

    fn send(&self, targets: &[SocketAddr], message: &Message) {
        for bytes in duties::encode(message) {
            for target in targets {
                // A datagram that cannot be sent is like one that is lost.
                let _ = self.socket.try_send_to(&bytes, *target);
            }
        }
    }

    fn take_counts(&self, from: SocketAddr, counts: UsageCounts) {
        let now = self.clock.now_boottime();
        if let Some(peer) = self.peers.borrow_mut().get_mut(&from) {
            peer.last_counts = Some(now);
        }
        let told = WindowCounts {
            incarnation: counts.incarnation,
            closed_before: counts.closed_before,
            window: counts.window,
            total: counts.total,
            counts: counts.counts.into_iter().collect(),
        };
        self.counter.borrow_mut().observe(now, told);
    }

    fn take_held(&self, from: SocketAddr, held: HolderNotice) {
        let now = self.clock.now_boottime();
        let mut candidate = self.candidate.borrow_mut();
        if held.log_end < candidate.log_end() {
            return;
        }
        candidate.observe_record(now, held.log_end, held.released);
        let holder = (!held.released).then_some(from);
        if self.holder.replace(holder) != holder {
            info!("duties held elsewhere", kv: {
                peer = from.to_string().as_str(), token = held.fencing_token, released = held.released
            });
        }
        self.next_window
            .set(self.next_window.get().max(held.next_window));
    }
}

fn counts_message(told: WindowCounts) -> UsageCounts {
    UsageCounts {
        incarnation: told.incarnation,
        closed_before: told.closed_before,
        window: told.window,
        total: told.total,
        counts: told.counts.into_iter().collect(),
    }
}
