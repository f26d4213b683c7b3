//! Fair shares of services without engines: refuses calls of workspaces above
//! their share before they are sent. `policy::shares::rates` decides.

use std::time::Instant;

use base::reason::Refusal;
use policy::rendezvous;
use policy::shares::rates::{ShareDecision, ShareGroup};
use policy::wait_estimate;
use rand::RngExt;
use spdlog::info;

use crate::call::Call;
use crate::gossip::service_number;
use crate::relay::millis;
use crate::reply::LocalReply;

impl Call {
    /// Counts the call and refuses it if the servers of its service reject calls
    /// and its workspace is above its share. A call that is refused here was not
    /// sent to any server.
    pub(crate) fn refuse_over_share(&self) -> Option<LocalReply> {
        let group = self.share_group()?;
        let workspace = self.workspace.as_ref()?;
        let hash = rendezvous::hash_name(&workspace.name);
        let now = self.state.clock.now();
        let mut rates = self.state.workspace_rates.borrow_mut();
        // Entries exchange the lower half of the hash.
        let decision = rates.decide(now, group, hash as u32, rand::rng().random());
        drop(rates);
        let ShareDecision::Refuse { rate, fair, after } = decision else {
            return None;
        };
        let after = wait_estimate::jitter(after, rand::rng().random());
        metrics::counter!("pimentocart_share_refused_total").increment(1);
        info!("call refused", kv: {
            id = self.request_id(),
            route = self.route.name.as_str(),
            service = &*self.service,
            by = "share",
            workspace = format!("{hash:016x}").as_str(),
            rate = (rate * 10.0).round() / 10.0,
            fair = (fair * 10.0).round() / 10.0,
            after_ms = millis(after)
        });
        Some(LocalReply::refused(Refusal::OverShare, after))
    }

    /// Notes that a server has rejected the call.
    pub(crate) fn record_rejection(&self, now: Instant) {
        if let Some(group) = self.share_group() {
            let mut rates = self.state.workspace_rates.borrow_mut();
            rates.record_rejection(now, group);
        }
    }

    /// Notes that all tried servers have rejected the call.
    pub(crate) fn record_rejected_call(&self) {
        if let Some(group) = self.share_group() {
            let now = self.state.clock.now();
            let mut rates = self.state.workspace_rates.borrow_mut();
            rates.record_rejected_call(now, group);
        }
    }

    /// The calls with which this one shares a service; `None` if the service has
    /// engines, whose sidecars share them, or fair shares are off.
    fn share_group(&self) -> Option<ShareGroup> {
        let shared = self.state.settings.fair_shares && self.workspace.is_some();
        (shared && !self.has_engine()).then(|| ShareGroup {
            service: service_number(&self.service),
            tier: self.tier().0,
        })
    }
}
