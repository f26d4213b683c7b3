//! Keeping the known sidecars in step with the host list and with what the
//! sidecars say themselves. See docs/DECISIONS/0401-membership.md.

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

/// How often sidecars that may come back or be gone are asked.
const BEAT: Duration = Duration::from_millis(500);

/// How often the list is read while no host is known, on average.
const EAGER: Duration = Duration::from_millis(100);

/// A ticket that no request ever has. Pulling it changes nothing at the
/// sidecar and brings its life and load back.
const NOBODY: RequestId = RequestId(0);

/// Follows the host list, and asks after sidecars that the list or their own
/// word calls gone.
pub struct MembershipActor {
    state: Rc<State>,
    list_client: Option<Rc<HostsClient>>,
    membership: Membership,
    /// Whether the list could be read last time, to log changes only.
    list_readable: bool,
    /// Calls that ask after a sidecar and are still out.
    open_probes: Rc<Cell<usize>>,
}

impl MembershipActor {
    /// Makes the roster of an entry.
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
        // Sidecars named in the settings are believed until a list shows
        // otherwise and they stop answering.
        let named: Vec<Host> = settings.sidecars.iter().map(configured_host).collect();
        membership.apply_list(state.clock.now(), &named);

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

    /// Reads the list, and again after a while.
    fn poll_list(&mut self, ctx: &mut Context<Self>) {
        let Some(list_client) = self.list_client.clone() else {
            return;
        };
        let read = async move { list_client.read().await };
        let done = read.into_actor(self).map(|list, roster, ctx| {
            roster.apply_list(&list);
            // An entry that knows nobody can serve nobody.
            let poll = match roster.membership.is_empty() {
                true => EAGER,
                false => roster.state.settings.host_list.poll_interval.0,
            };
            // Entries that start together must not ask together for ever.
            let wait = poll.mul_f64(rand::random_range(0.5..1.5));
            ctx.run_later(wait, Self::poll_list);
        });
        ctx.spawn(done);
    }

    /// Takes over what the reading brought.
    fn apply_list(&mut self, list: &Result<Option<Vec<Listed>>, Error>) {
        // Which life the list calls leaving shows only against the newest one.
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
            warn!("host list unreadable", kv: { error = e.to_string().as_str() });
        }
        self.list_readable = readable;
        if outcome == "taken" {
            self.publish_servers();
            self.state.list_applied.trigger();
        }
    }

    /// Notes who answered since.
    fn note_answers(&mut self) {
        for server in self.state.servers() {
            if let Some((at, life)) = server.last_reply.get() {
                self.membership.note_answer(at, &server.info.name, life);
            }
        }
    }

    /// Notes who answered, forgets who is gone and asks after the doubtful.
    fn tick(&mut self, _: &mut Context<Self>) {
        self.note_answers();
        let forgotten = self.membership.sweep(self.state.clock.now());
        if forgotten > 0 {
            info!("hosts forgotten", kv: { count = forgotten });
            counter!("pimentocart_hosts_forgotten_total").increment(forgotten as u64);
            self.publish_servers();
        }
        self.mark_leaving();

        // The answers of those asked the last time are still awaited.
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

    /// Asks one sidecar how it is.
    fn probe(&self, server: Rc<Server>) {
        let (state, asking) = (Rc::clone(&self.state), Rc::clone(&self.open_probes));
        asking.set(asking.get() + 1);
        actix_rt::spawn(async move {
            let ask = PullRequest {
                ticket: NOBODY,
                from: 0,
                wait_ms: 0,
            };
            // No answer is told by the time since the last one.
            let answer = server.peer.pull(state.call_header(), ask).await;
            let _ = state.record_reply(&server, answer);
            asking.set(asking.get() - 1);
        });
    }

    /// Gives the entry the sidecars that it should know.
    fn publish_servers(&self) {
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

    /// Marks the sidecars that the list calls leaving.
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
        ctx.run_interval(BEAT, Self::tick);
    }
}

fn configured_host(known: &SidecarInfo) -> Host {
    let kind = HostKind::Sidecar {
        serves: known.serves.clone(),
    };
    Host {
        name: known.name.clone(),
        addr: known.addr,
        zone: known.zone.clone(),
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
