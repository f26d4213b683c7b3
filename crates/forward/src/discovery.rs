//! Finding the other entries, as `policy::discovery` says.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use policy::discovery::DiscoveryStep;
use spdlog::warn;

use crate::edge::Directory;
use crate::gossip::GossipEndpoint;
use crate::state::State;

/// An entry that was asked takes this one to speak again within that time.
const WITHIN: Duration = Duration::from_secs(1);

/// Finds other entries until `end`.
pub async fn run<D: Directory>(
    state: Rc<State>,
    endpoint: Rc<GossipEndpoint>,
    directory: D,
    end: StopSignal,
) {
    let addr = state.settings.gossip;
    let mut rewinds = 0;
    let mut lost = false;
    while !end.is_triggered() {
        let now = state.clock.now();
        // A store that came back from an old copy may lack the address.
        let seen = state.tables.restore_count.get();
        if std::mem::replace(&mut rewinds, seen) != seen {
            state.finder.borrow_mut().announcement_lost();
        }
        let (first, relayed) = {
            let roster = state.roster.borrow();
            (roster.is_relay(), roster.uses_relays())
        };
        let step = state.finder.borrow_mut().next_step(now, first, relayed);
        let failed = match step {
            DiscoveryStep::Ask(addr) => {
                endpoint.request_members(addr, WITHIN);
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
                    .finder
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
                state.finder.borrow_mut().directory_read(now, others);
                error
            }
        };
        // The first of a row is logged; entries that were found stay known.
        if let Some(e) = failed.as_ref().filter(|_| !lost) {
            warn!("directory lost", kv: { cause = e.to_string().as_str() });
        }
        lost = failed.is_some();
    }
}
