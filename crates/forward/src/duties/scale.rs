//! Ordering the number of backend servers while the duties are held.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use futures_util::future::join_all;
use policy::balance::ServerRecord;
use policy::routes::Service;
use policy::scaling::{Scaler, ServerOrder, ZoneLoad};
use spdlog::{info, warn};

use super::Duties;
use super::report::UNHEARD;
use crate::platform::{DutyApi, DutyOutcome};
use crate::state::State;

/// How often the load is looked at. A server takes longer than that to boot.
const LOOK: Duration = Duration::from_secs(1);

/// What was decided for each service, while the duties are held.
type Scalers = HashMap<Rc<str>, Scaler>;

/// Orders servers where operators leave their number open, until `end`.
pub async fn run<B: DutyApi>(state: Rc<State>, duties: Rc<Duties>, duty_api: B, end: StopSignal) {
    if !duties.settings.autoscales() {
        return;
    }
    let mut scalers = Scalers::new();
    let mut failures = 0;
    while !end.is_triggered() {
        tokio::time::sleep(LOOK).await;
        if duties.token().is_none() {
            // Others may have ordered since, by loads that are not known here.
            scalers.clear();
            duties.ordered_servers.borrow_mut().clear();
            continue;
        }
        for service in state.scaled() {
            let name = Rc::clone(&service.name);
            let scaler = scalers.entry(name).or_default();
            let heard = duties.scale(&state, &duty_api, &service, scaler).await;
            failures = if heard { 0 } else { failures + 1 };
        }
        if failures >= UNHEARD && !duties.peers().is_empty() {
            duties.api_unreachable.set(true);
            failures = 0;
        }
    }
}

impl State {
    /// The services whose number of servers may be ordered.
    fn scaled(&self) -> Vec<Rc<Service>> {
        let catalog = self.catalog.borrow();
        let services = catalog.iter().flat_map(|c| c.services());
        services.filter(|s| s.scaling.is_some()).cloned().collect()
    }

    /// How busy the servers of a service are, by availability zone.
    async fn busy(&self, service: &str) -> BTreeMap<Rc<str>, ZoneLoad> {
        let serving = self.balancer.borrow().serving(service);
        let busy = serving.iter().map(|(s, open)| self.busy_at(s, *open));
        let busy = join_all(busy).await;
        let mut zones: BTreeMap<Rc<str>, ZoneLoad> = BTreeMap::new();
        for ((server, _), busy) in serving.iter().zip(busy) {
            let zone = zones.entry(Rc::clone(&server.zone)).or_default();
            zone.serving += 1;
            zone.busy_servers += busy;
        }
        zones
    }

    /// How busy a server is, by its sidecar if it has one, else by the calls
    /// that are open there.
    async fn busy_at(&self, server: &ServerRecord, open: u32) -> f64 {
        let sidecars = self.sidecars.borrow().clone();
        let told = match sidecars {
            Some(sidecars) => sidecars.utilization(server.addr.ip()).await,
            None => None,
        };
        told.unwrap_or_else(|| f64::from(open) / f64::from(server.slots.max(1)))
    }
}

impl Duties {
    /// Looks at the load of a service and orders what it needs; whether the
    /// platform's interface was heard.
    async fn scale<B: DutyApi>(
        &self,
        state: &State,
        duty_api: &B,
        service: &Service,
        scaler: &mut Scaler,
    ) -> bool {
        let Some(limits) = &service.scaling else {
            return true;
        };
        let zones = state.busy(&service.name).await;
        scaler.observe(state.clock.now(), limits, &zones);
        for order in scaler.due_orders(state.clock.now()) {
            let token = || self.token();
            let outcome = duty_api
                .order(&self.name, &service.name, &order, token)
                .await;
            self.note_order(&service.name, &order, zones.get(&order.zone), &outcome);
            if outcome != DutyOutcome::Accepted {
                return outcome.is_conclusive();
            }
            scaler.mark_accepted(state.clock.now(), &order);
            tokio::time::sleep(self.spacing()).await;
        }
        true
    }

    /// Notes what became of an order.
    fn note_order(
        &self,
        service: &str,
        order: &ServerOrder,
        seen: Option<&ZoneLoad>,
        outcome: &DutyOutcome,
    ) {
        let word = outcome.label();
        metrics::counter!("pimentocart_server_orders_total", "outcome" => word).increment(1);
        let seen = seen.copied().unwrap_or_default();
        info!("servers ordered", kv: {
            service, zone = &*order.zone, count = order.count, outcome = word,
            serving = seen.serving, busy = format!("{:.2}", seen.busy_servers).as_str()
        });
        match outcome {
            DutyOutcome::Accepted => {
                let key = format!("{service}/{}", order.zone);
                self.ordered_servers.borrow_mut().insert(key, order.count);
            }
            DutyOutcome::Fenced(token) => {
                let now = self.clock.now_boottime();
                self.candidate.borrow_mut().reject_token(now, *token);
            }
            DutyOutcome::Refused(_) | DutyOutcome::Unanswered(_) | DutyOutcome::NotHeld => {
                warn!("servers not ordered", kv: { service, detail = format!("{outcome:?}").as_str() });
            }
        }
    }
}
