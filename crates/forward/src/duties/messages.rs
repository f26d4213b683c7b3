//! Messages between entries for the duties.
//!
//! Each entry sends its usage counts to the holder and to the first few entries in rank
//! order, so that the holder's successor has them as well. The holder announces itself
//! to all entries.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::logging::limiter::LineLimiter;
use base::stop::StopSignal;
use policy::usage::WindowCounts;
use spdlog::{info, warn};
use wire::duties::{self, HolderNotice, Message, UsageCounts};

use super::Duties;

/// Interval at which counts are sent. The counts that an entry has not yet sent are lost
/// if it is killed.
const COUNTS_INTERVAL: Duration = Duration::from_millis(250);

/// Number of entries that get counts besides the holder. Any of them can succeed the
/// holder without losing the counts of entries that have ended.
const COUNTS_RECIPIENTS: usize = 6;

/// Delay after a failure to receive from the socket.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends this entry's counts at regular intervals until `end`.
pub async fn send_counts(duties: Rc<Duties>, end: StopSignal) {
    while !end.is_triggered() {
        tokio::time::sleep(COUNTS_INTERVAL).await;
        duties.send_own_counts();
    }
}

/// Receives and applies the messages of other entries, once the port is bound.
pub async fn receive(duties: Rc<Duties>) {
    let mut buffer = vec![0; duties::MAX_DATAGRAM_BYTES + 1];
    let limiter = LineLimiter::default();
    let Some(socket) = duties.socket() else {
        return;
    };
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(e) => {
                // The ICMP error of an unreachable peer surfaces here; it does not
                // concern other peers.
                metrics::counter!("pimentocart_duty_errors_total").increment(1);
                if e.kind() != io::ErrorKind::ConnectionRefused {
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
                continue;
            }
        };
        match duties::decode(&buffer[..length]) {
            Ok(Message::Counts(counts)) => duties.apply_counts(from, counts),
            Ok(Message::Holder(notice)) => duties.apply_notice(from, notice),
            Err(e) => {
                metrics::counter!("pimentocart_duty_errors_total").increment(1);
                if let Some(unlogged) = limiter.record(duties.clock.now()) {
                    warn!("duty message not decoded", kv: {
                        peer = from.to_string().as_str(), cause = e.to_string().as_str(),
                        unlogged = unlogged
                    });
                }
            }
        }
    }
}

impl Duties {
    /// Sends this entry's counts to the holder and the first entries in rank order.
    fn send_own_counts(&self) {
        let (now, time) = (self.clock.now_boottime(), self.fleet_time());
        let own_counts = self
            .counter
            .borrow_mut()
            .own_counts(now, time, self.next_window.get());
        let mut targets: Vec<SocketAddr> = self
            .peers()
            .iter()
            .take(COUNTS_RECIPIENTS)
            .map(|p| p.1)
            .collect();
        targets.extend(self.holder.get().filter(|holder| !targets.contains(holder)));
        for counts in own_counts {
            let message = counts_message(counts, self.next_window.get());
            self.send(&targets, &Message::Counts(message));
        }
    }

    /// Announces to all entries that this entry holds the duties, or has released them.
    pub(super) fn send_holder_notice(&self, fencing_token: u64, released: bool) {
        let notice = HolderNotice {
            fencing_token,
            log_end: self.candidate.borrow().log_end(),
            // A successor may finalize the windows that the store does not keep yet,
            // and needs the counts of all entries for them.
            next_window: self.next_window.get(),
            released,
        };
        let peers: Vec<SocketAddr> = self.peers().into_iter().map(|p| p.1).collect();
        self.send(&peers, &Message::Holder(notice));
    }

    fn send(&self, targets: &[SocketAddr], message: &Message) {
        let Some(socket) = self.socket() else {
            return;
        };
        for bytes in duties::encode(message) {
            for target in targets {
                // A datagram that cannot be sent is treated like one that is lost.
                let _ = socket.try_send_to(&bytes, *target);
            }
        }
    }

    fn apply_counts(&self, from: SocketAddr, counts: UsageCounts) {
        self.observe_finalized(counts.next_window);
        let now = self.clock.now_boottime();
        if let Some(peer) = self.peers.borrow_mut().get_mut(&from) {
            peer.last_counts = Some(now);
        }
        let counts = WindowCounts {
            incarnation: counts.incarnation,
            closed_before: counts.closed_before,
            window: counts.window,
            total: counts.total,
            counts: counts.counts.into_iter().collect(),
        };
        self.counter.borrow_mut().observe(now, counts);
    }

    fn apply_notice(&self, from: SocketAddr, notice: HolderNotice) {
        let now = self.clock.now_boottime();
        let mut candidate = self.candidate.borrow_mut();
        if notice.log_end < candidate.log_end() {
            return;
        }
        candidate.observe_record(now, notice.log_end, notice.released);
        let holder = (!notice.released).then_some(from);
        if self.holder.replace(holder) != holder {
            info!("duty holder changed", kv: {
                peer = from.to_string().as_str(), token = notice.fencing_token, released = notice.released
            });
        }
        drop(candidate);
        self.observe_finalized(notice.next_window);
    }
}

fn counts_message(counts: WindowCounts, next_window: u64) -> UsageCounts {
    UsageCounts {
        incarnation: counts.incarnation,
        closed_before: counts.closed_before,
        next_window,
        window: counts.window,
        total: counts.total,
        counts: counts.counts.into_iter().collect(),
    }
}
