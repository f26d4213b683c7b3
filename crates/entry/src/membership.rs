//! Maintains the set of known sidecars from the host list and from the replies of
//! the sidecars. See docs/DECISIONS/0401-membership.md.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, ActorFutureExt, AsyncContext, Context, WrapFuture};
use base::ids::RequestId;
use clients::hosts::{Error, Host as Listed, HostStatus, HostsClient, Role};
use metrics::{counter, gauge};
use policy::membership::{Host, HostKind, ListOutcome, Membership, MembershipLimits};
use policy::subset::SubsetSize;
use spdlog::{info, warn};
use wire::PullRequest;

use crate::settings::SidecarInfo;
use crate::state::{Server, State};

/// Interval of the probes to sidecars that are no longer listed or get no new
/// requests, and of the check for hosts to forget.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Average interval between reads of the host list while no host is known.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A ticket that no request has. A pull with it is a probe: it changes nothing
/// at the sidecar, and the reply carries its incarnation and load.
const PROBE_TICKET: RequestId = RequestId(0);

/// Polls the host list, and probes sidecars that are no longer listed or that get
/// no new requests.
pub struct MembershipActor {
    state: Rc<State>,
    list_client: Option<Rc<HostsClient>>,
    membership: Membership,
    /// Whether the last read of the list succeeded, so that only the first of
    /// several failures is logged.
    list_readable: bool,
    /// Number of probes without a reply yet.
    open_probes: Rc<Cell<usize>>,
}

impl MembershipActor {
    /// Creates the actor of an entry.
    #[must_use]
    pub fn new(state: Rc<State>) -> Self {
        let settings = &state.settings;
        let limits = MembershipLimits {
            subset_size: SubsetSize {
                total: settings.host_list.subset_size,
                other_zones: settings.host_list.other_zones,
            },
            forget_after: settings.host_list.forget_after.0,
        };
        let mut membership = Membership::new(&settings.name, &settings.zone, limits);
        // Sidecars from the settings stay known until they are missing from a list
        // and also stop answering.
        let configured: Vec<Host> = settings.sidecars.iter().map(configured_host).collect();
        membership.apply_list(state.clock.now(), &configured);

        let region = &settings.host_list.region;
        let list_client = settings
            .host_list
            .list_addr
            .map(|a| Rc::new(HostsClient::new(a, region)));
        Self {
            state,
            list_client,
            membership,
            list_readable: true,
            open_probes: Rc::default(),
        }
    }

    /// Reads the list and schedules the next read.
    fn poll_list(&mut self, ctx: &mut Context<Self>) {
        let Some(list_client) = self.list_client.clone() else {
            return;
        };
        let read = async move { list_client.read().await };
        let applied = read.into_actor(self).map(|list, actor, ctx| {
            actor.apply_list(&list);
            // Without a known host the entry cannot serve any request.
            let interval = match actor.membership.is_empty() {
                true => INITIAL_POLL_INTERVAL,
                false => actor.state.settings.host_list.poll_interval.0,
            };
            // Jitter desynchronizes entries that start at the same time.
            let wait = interval.mul_f64(rand::random_range(0.5..1.5));
            ctx.run_later(wait, Self::poll_list);
        });
        ctx.spawn(applied);
    }

    /// Applies the result of a read.
    fn apply_list(&mut self, list: &Result<Option<Vec<Listed>>, Error>) {
        // A host that the list shows as leaving is compared with its latest known
        // incarnation, so that has to be up to date.
        self.note_answers();
        let outcome = match list {
            Ok(None) => "unchanged",
            Ok(Some(list)) => {
                let hosts: Vec<Host> = list.iter().map(listed_host).collect();
                match self.membership.apply_list(self.state.clock.now(), &hosts) {
                    ListOutcome::Taken => "taken",
                    ListOutcome::Ignored => "empty",
                }
            }
            Err(_) => "failed",
        };
        counter!("pimentocart_host_lists_total", "outcome" => outcome).increment(1);

        let readable = list.is_ok();
        if let (Err(e), true) = (list, self.list_readable) {
            warn!("reading the host list failed", kv: { error = e.to_string().as_str() });
        }
        self.list_readable = readable;
        if outcome == "taken" {
            self.update_servers();
            self.state.list_applied.trigger();
        }
    }

    /// Records the latest reply of each sidecar.
    fn note_answers(&mut self) {
        for server in self.state.servers() {
            if let Some((at, incarnation)) = server.last_reply.get() {
                self.membership
                    .note_answer(at, &server.info.name, incarnation);
            }
        }
    }

    /// Records replies, forgets hosts that are gone, and probes sidecars that are
    /// not listed or get no new requests.
    fn tick(&mut self, _: &mut Context<Self>) {
        self.note_answers();
        let forgotten = self.membership.sweep(self.state.clock.now());
        if forgotten > 0 {
            info!("unlisted hosts without replies forgotten", kv: { count = forgotten });
            counter!("pimentocart_hosts_forgotten_total").increment(forgotten as u64);
            self.update_servers();
        }
        self.mark_leaving();

        // Probes of an earlier tick are still pending.
        if self.open_probes.get() > 0 {
            return;
        }
        for server in self.state.servers() {
            let open = self.state.placement.borrow().is_open(server.index);
            if !open || !self.membership.is_listed(&server.info.name) {
                self.probe(server);
            }
        }
    }

    /// Probes one sidecar.
    fn probe(&self, server: Rc<Server>) {
        let (state, open_probes) = (Rc::clone(&self.state), Rc::clone(&self.open_probes));
        open_probes.set(open_probes.get() + 1);
        actix_rt::spawn(async move {
            let pull_request = PullRequest {
                ticket: PROBE_TICKET,
                from: 0,
                wait_ms: 0,
            };
            // A failed probe needs no handling: the time since the last reply
            // shows it.
            let result = server.peer.pull(state.call_header(), pull_request).await;
            let _ = state.record_result(&server, result);
            open_probes.set(open_probes.get() - 1);
        });
    }

    /// Updates the entry's sidecars to the chosen subset.
    fn update_servers(&self) {
        let chosen: Vec<SidecarInfo> = self
            .membership
            .chosen_sidecars()
            .into_iter()
            .filter_map(sidecar_info)
            .collect();
        self.state.set_servers(&chosen);
        self.mark_leaving();
        gauge!("pimentocart_hosts_known").set(self.membership.len() as f64);
        gauge!("pimentocart_servers_known").set(chosen.len() as f64);
    }

    /// Closes placement at the sidecars that the list shows as leaving.
    fn mark_leaving(&self) {
        let servers = self.state.servers();
        let mut placement = self.state.placement.borrow_mut();
        for server in servers {
            placement.set_closed(server.index, self.membership.is_leaving(&server.info.name));
        }
    }
}

impl Actor for MembershipActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.poll_list(ctx);
        ctx.run_interval(PROBE_INTERVAL, Self::tick);
    }
}

fn configured_host(info: &SidecarInfo) -> Host {
    let kind = HostKind::Sidecar {
        serves: info.serves.clone(),
    };
    Host {
        name: info.name.clone(),
        addr: info.addr,
        zone: info.zone.clone(),
        kind,
        leaving: false,
    }
}

fn listed_host(listed: &Listed) -> Host {
    let kind = match listed.role {
        Role::Entry => HostKind::Entry,
        Role::Sidecar => HostKind::Sidecar {
            serves: listed.serves.clone(),
        },
    };
    Host {
        name: listed.name.clone(),
        addr: listed.addr,
        zone: listed.zone.clone(),
        kind,
        leaving: listed.status == HostStatus::Leaving,
    }
}

fn sidecar_info(host: &Host) -> Option<SidecarInfo> {
    let HostKind::Sidecar { serves } = &host.kind else {
        return None;
    };
    Some(SidecarInfo {
        name: host.name.clone(),
        addr: host.addr,
        zone: host.zone.clone(),
        serves: serves.clone(),
    })
}
