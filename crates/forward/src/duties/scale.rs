//! Orders the number of backend servers from the platform while the duties are held.

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
use super::report::MAX_API_FAILURES;
use crate::platform::{DutyApi, DutyOutcome};
use crate::state::State;

/// Interval at which the load is observed. It is shorter than the boot time of a server.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// The scaler of each service, while the duties are held.
type Scalers = HashMap<Rc<str>, Scaler>;

/// Orders servers for the services with scaling limits, until `end`.
pub async fn run<B: DutyApi>(state: Rc<State>, duties: Rc<Duties>, duty_api: B, end: StopSignal) {
    if !duties.settings.autoscales() {
        return;
    }
    let mut scalers = Scalers::new();
    let mut failures = 0;
    while !end.is_triggered() {
        tokio::time::sleep(OBSERVE_INTERVAL).await;
        if duties.token().is_none() {
            // Another holder may order in the meantime, by loads that are not known here.
            scalers.clear();
            duties.ordered_servers.borrow_mut().clear();
            continue;
        }
        for service in state.scaled_services() {
            let name = Rc::clone(&service.name);
            let scaler = scalers.entry(name).or_default();
            let reachable = duties
                .scale_service(&state, &duty_api, &service, scaler)
                .await;
            failures = if reachable { 0 } else { failures + 1 };
        }
        if failures >= MAX_API_FAILURES && !duties.peers().is_empty() {
            duties.api_unreachable.set(true);
            failures = 0;
        }
    }
}

impl State {
    /// The services with scaling limits.
    fn scaled_services(&self) -> Vec<Rc<Service>> {
        let catalog = self.catalog.borrow();
        let services = catalog.iter().flat_map(|c| c.services());
        services.filter(|s| s.scaling.is_some()).cloned().collect()
    }

    /// The load on the servers of a service, by availability zone.
    async fn zone_loads(&self, service: &str) -> BTreeMap<Rc<str>, ZoneLoad> {
        let serving = self.balancer.borrow().serving(service);
        let utilizations = serving
            .iter()
            .map(|(s, open)| self.server_utilization(s, *open));
        let utilizations = join_all(utilizations).await;
        let mut zones: BTreeMap<Rc<str>, ZoneLoad> = BTreeMap::new();
        for ((server, _), utilization) in serving.iter().zip(utilizations) {
            let zone = zones.entry(Rc::clone(&server.zone)).or_default();
            zone.serving += 1;
            zone.busy_servers += utilization;
        }
        zones
    }

    /// The utilization of a server as reported by its sidecar, or its open calls per slot
    /// if no sidecar answers.
    async fn server_utilization(&self, server: &ServerRecord, open_calls: u32) -> f64 {
        let sidecars = self.sidecars.borrow().clone();
        let reported = match sidecars {
            Some(sidecars) => sidecars.utilization(server.addr.ip()).await,
            None => None,
        };
        reported.unwrap_or_else(|| f64::from(open_calls) / f64::from(server.slots.max(1)))
    }
}

impl Duties {
    /// Observes the load of a service and sends the orders that are due; returns whether
    /// the platform API was reachable.
    async fn scale_service<B: DutyApi>(
        &self,
        state: &State,
        duty_api: &B,
        service: &Service,
        scaler: &mut Scaler,
    ) -> bool {
        let Some(limits) = &service.scaling else {
            return true;
        };
        let zones = state.zone_loads(&service.name).await;
        scaler.observe(state.clock.now(), limits, &zones);
        for order in scaler.due_orders(state.clock.now()) {
            let token = || self.token();
            let outcome = duty_api
                .order(&self.name, &service.name, &order, token)
                .await;
            self.record_order(&service.name, &order, zones.get(&order.zone), &outcome);
            match outcome {
                DutyOutcome::Accepted => scaler.mark_accepted(state.clock.now(), &order),
                // A record may name a zone that the platform does not know. That says
                // nothing of the other zones.
                DutyOutcome::Refused(400 | 404 | 422) => {}
                outcome => return outcome.is_conclusive(),
            }
            tokio::time::sleep(self.call_interval()).await;
        }
        true
    }

    /// Records the outcome of an order.
    fn record_order(
        &self,
        service: &str,
        order: &ServerOrder,
        load: Option<&ZoneLoad>,
        outcome: &DutyOutcome,
    ) {
        let label = outcome.label();
        metrics::counter!("pimentocart_server_orders_total", "outcome" => label).increment(1);
        let load = load.copied().unwrap_or_default();
        info!("scaling order finished", kv: {
            service, zone = &*order.zone, count = order.count, outcome = label,
            serving = load.serving, busy = format!("{:.2}", load.busy_servers).as_str()
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
                warn!("scaling order not accepted", kv: { service, detail = format!("{outcome:?}").as_str() });
            }
        }
    }
}
