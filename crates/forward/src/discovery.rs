//! Finds the other entries in the steps that `policy::discovery` selects.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use policy::discovery::DiscoveryStep;
use spdlog::warn;

use crate::gossip::GossipEndpoint;
use crate::platform::Directory;
use crate::state::State;

/// Report interval that is announced to an entry when it is asked for members.
const ANNOUNCED_INTERVAL: Duration = Duration::from_secs(1);

/// Finds other entries until `end`.
pub async fn run<D: Directory>(
    state: Rc<State>,
    endpoint: Rc<GossipEndpoint>,
    directory: D,
    end: StopSignal,
) {
    let addr = state.settings.gossip;
    let mut handled_restores = 0;
    let mut was_failing = false;
    while !end.is_triggered() {
        let now = state.clock.now();
        // A store that was restored from an old copy may lack this entry's address.
        let restores = state.tables.restore_count.get();
        if std::mem::replace(&mut handled_restores, restores) != restores {
            state.discovery.borrow_mut().announcement_lost();
        }
        let (is_relay, uses_relays) = {
            let roster = state.roster.borrow();
            (roster.is_relay(), roster.uses_relays())
        };
        let step = state
            .discovery
            .borrow_mut()
            .next_step(now, is_relay, uses_relays);
        let failed = match step {
            DiscoveryStep::Ask(addr) => {
                endpoint.request_members(addr, ANNOUNCED_INTERVAL);
                continue;
            }
            DiscoveryStep::Wait(pause) => {
                tokio::time::sleep(pause).await;
                continue;
            }
            DiscoveryStep::Announce => {
                let announced = directory.announce(&state.settings.name, addr).await;
                let now = state.clock.now();
                state
                    .discovery
                    .borrow_mut()
                    .announce_finished(now, announced.is_ok());
                announced.err()
            }
            DiscoveryStep::ReadDirectory => {
                let found = directory.entries().await;
                let (found, error) = match found {
                    Ok(found) => (Some(found), None),
                    Err(e) => (None, Some(e)),
                };
                let others = found.map(|f| f.into_iter().filter(|a| *a != addr).collect());
                let now = state.clock.now();
                state.discovery.borrow_mut().directory_read(now, others);
                error
            }
        };
        // Only the first of consecutive failures is logged. Known entries stay known.
        if let Some(e) = failed.as_ref().filter(|_| !was_failing) {
            warn!("directory request failed; retrying", kv: { cause = e.to_string().as_str() });
        }
        was_failing = failed.is_some();
    }
}
