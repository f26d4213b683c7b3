//! Update the other entries what this one has in progress, and hearing what
//! they have.
//!
//! Entries find each other through the platform's store, where each writes
//! its address once, and by what they hear. Without any peer an entry goes by
//! its own calls.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Incarnation;
use base::stop::Stop;
use policy::balance::Turns;
use policy::others::{BELIEVED, Calls, Intervals, Saying};
use policy::pools::Told;
use policy::readers::Rank;
use policy::rendezvous;
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use wire::gossip;

use crate::crashes;
use crate::edge::Directory;
use crate::state::{Peer, State, link_mbps, zone_number};

/// Bytes around the contents of a datagram.
const FRAME: usize = 28;

/// A peer that was not heard for so long gets no datagrams.
const SILENT: Duration = Duration::from_secs(30);

/// How often the directory is read, to find entries that this one has missed:
/// for each entry that is heard, and at the least. Whoever starts announces
/// itself before it reads, so that of two at least one finds the other; what
/// is left are entries that were cut off from each other for long. So all
/// entries together read it about once a second, however many they are.
const LOOK_EACH: Duration = Duration::from_secs(1);
const LOOK_LEAST: Duration = Duration::from_secs(15);

/// The pause after the directory could not be reached.
const RETRY: Duration = Duration::from_millis(400);

/// Tells and hears until `end`.
pub async fn run(state: Rc<State>, socket: UdpSocket, end: Stop) {
    let socket = Rc::new(socket);
    actix_rt::spawn(hear(Rc::clone(&state), Rc::clone(&socket)));
    let life = Incarnation::random().0;
    let mut seq = 0;
    let mut far_due = state.clock.now();
    while !end.asked() {
        let now = state.clock.now();
        let (near, far) = peers(&state, now);
        seq += 1;
        let said = saying(&state, now, life, seq);
        let bytes = gossip::encode(said.clone()).len() + FRAME;
        let every = Intervals::new(bytes * near.len(), bytes * far.len());
        send(&socket, &near, said.clone(), every.near);
        if now >= far_due {
            send(&socket, &far, said, every.far);
            // Rounds come each `near`; the one closest to the time is taken.
            far_due = now + every.far.saturating_sub(every.near / 2);
        }
        tokio::time::sleep(every.near).await;
        take_over(&state, state.clock.now());
    }
}

/// The entries of the own zone, and the others.
fn peers(state: &State, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let mut peers = state.peers.borrow_mut();
    peers.retain(|_, peer| now < peer.heard + SILENT);
    let (near, far): (Vec<_>, Vec<_>) = peers.iter().partition(|(_, peer)| peer.near);
    let addrs = |peers: Vec<(&SocketAddr, &Peer)>| peers.into_iter().map(|(a, _)| *a).collect();
    (addrs(near), addrs(far))
}

/// Sends what this entry has to some peers, who will hear it again after
/// `every`.
fn send(socket: &UdpSocket, peers: &[SocketAddr], mut saying: gossip::Saying, every: Duration) {
    saying.every_ms = u32::try_from(every.as_millis()).unwrap_or(u32::MAX);
    let bytes = gossip::encode(saying);
    for peer in peers {
        // A datagram that cannot be sent is like one that is lost.
        let _ = socket.try_send_to(&bytes, *peer);
    }
}

fn saying(state: &State, now: Instant, life: u64, seq: u32) -> gossip::Saying {
    let services = state.pools.borrow_mut().told(now);
    let mut calls = state.balance.borrow().told();
    calls.sort_by_key(|(_, calls)| std::cmp::Reverse(calls.open));
    let small = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    let calls = calls.into_iter();
    let calls = calls.map(|(s, c)| (s, small(c.open), small(c.waiting)));
    let service = |(name, told): (Rc<str>, Told)| gossip::Service {
        number: number(&name),
        reading: told.reading as f32,
        writing: told.writing as f32,
        pace: told.pace as f32,
        pause: told.pause as f32,
    };
    gossip::Saying {
        life,
        seq,
        every_ms: 0,
        wall_ms: state.clock.wall_ms(),
        zone: zone_number(&state.settings.zone),
        link_mbps: link_mbps(&state.settings),
        services: services.into_iter().map(service).collect(),
        calls: calls.collect(),
        crashes: state.crashes.untold(state.clock.wall_ms()),
    }
}

/// A service's number between entries.
fn number(service: &str) -> u32 {
    rendezvous::number(service) as u32
}

async fn hear(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; gossip::LARGEST];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(got) => got,
            Err(e) => {
                // An unreachable peer's refusal shows up here; it says
                // nothing about the others.
                metrics::counter!("pimentocart_gossip_errors_total").increment(1);
                if e.kind() != io::ErrorKind::ConnectionRefused {
                    tokio::time::sleep(RETRY).await;
                }
                continue;
            }
        };
        let said = match gossip::decode(&buffer[..length]) {
            Ok(said) => said,
            Err(e) => {
                warn!("gossip not understood", kv: {
                    peer = from.to_string().as_str(), cause = e.to_string().as_str()
                });
                continue;
            }
        };
        let now = state.clock.now();
        let near = said.zone == zone_number(&state.settings.zone);
        let peer = Peer {
            heard: now,
            near,
            spoke: true,
        };
        if state.peers.borrow_mut().insert(from, peer).is_none() {
            info!("entry found", kv: { peer = from.to_string().as_str(), by = "gossip" });
        }
        let rank = Rank::new(said.zone, from, said.link_mbps);
        let until = now + Duration::from_millis(u64::from(said.every_ms)) * BELIEVED;
        if near {
            state.readers.borrow_mut().hear(from, rank, until);
        }
        if let Some(duties) = &*state.duties.borrow() {
            duties.hear(from, rank, until - now, said.wall_ms);
        }
        crashes::hear(&state, now, &said.crashes);
        state.others.borrow_mut().hear(now, read(&said));
    }
}

fn read(said: &gossip::Saying) -> Saying {
    let told = |s: &gossip::Service| {
        let told = Told {
            reading: f64::from(s.reading),
            writing: f64::from(s.writing),
            pace: f64::from(s.pace),
            paced: u32::from(s.pace > 0.0),
            pause: f64::from(s.pause),
        };
        (s.number, told)
    };
    let calls = |(server, open, waiting): &(u16, u16, u16)| {
        let calls = Calls {
            open: u32::from(*open),
            waiting: u32::from(*waiting),
        };
        (*server, calls)
    };
    Saying {
        life: said.life,
        seq: said.seq,
        every: Duration::from_millis(u64::from(said.every_ms)),
        services: said.services.iter().map(told).collect(),
        calls: said.calls.iter().map(calls).collect(),
    }
}

/// Hands what the others have to those who decide.
fn take_over(state: &State, now: Instant) {
    let mut others = state.others.borrow_mut();
    others.forget(now);
    metrics::gauge!("pimentocart_entries_heard").set(others.count() as f64);
    let calls = others.calls();
    let calls = |server: u16| calls.get(&server).copied().unwrap_or_default();
    state.balance.borrow_mut().hear(calls);
    share(state, now);
    let Some(catalog) = state.catalog.borrow().clone() else {
        return;
    };
    for service in catalog.services().filter(|s| s.engine.is_some()) {
        let told = others.told(number(&service.name));
        state.pools.borrow_mut().hear(now, &service.name, told);
    }
}

/// Finds out with how many entries this one shares the limits that servers
/// name.
fn share(state: &State, now: Instant) {
    let own = state.settings.gossip;
    let peers = state.peers.borrow();
    let spoke = peers.iter().filter(|(_, peer)| peer.spoke);
    let before = spoke.clone().filter(|(addr, _)| **addr < own).count();
    let entries = state.entry_count.borrow_mut().note(now, spoke.count() + 1);
    let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    state.balance.borrow_mut().share(Turns {
        entries: number(entries),
        place: number(before),
        at: now,
        wall: Duration::from_millis(state.clock.wall_ms()),
    });
}

/// Writes this entry's address into the directory and finds the others there.
pub async fn find<D: Directory>(state: Rc<State>, directory: D, addr: SocketAddr, end: Stop) {
    let mut announced = false;
    let mut rewinds = 0;
    let mut lost = false;
    while !end.asked() {
        // A store that came back from an old copy may lack the announcement.
        let seen = state.tables.rewinds.get();
        announced &= std::mem::replace(&mut rewinds, seen) == seen;
        if !announced {
            let name = &state.settings.name;
            announced = directory.announce(name, addr).await.is_ok();
        }
        let found = directory.entries().await;
        let wait = if found.is_ok() && announced {
            let heard = u32::try_from(state.others.borrow().count()).unwrap_or(u32::MAX);
            LOOK_EACH.saturating_mul(heard).max(LOOK_LEAST)
        } else {
            RETRY
        };
        // The first of a row is logged; peers that were found stay known.
        if let Err(e) = &found
            && !lost
        {
            warn!("directory lost", kv: { cause = e.to_string().as_str() });
        }
        lost = found.is_err();
        let now = state.clock.now();
        for peer in found.unwrap_or_default() {
            let known = state.peers.borrow().contains_key(&peer);
            if peer != addr && !known {
                info!("entry found", kv: { peer = peer.to_string().as_str(), by = "directory" });
                // Until it is heard it may stand in this zone.
                let found = Peer {
                    heard: now,
                    near: true,
                    spoke: false,
                };
                state.peers.borrow_mut().insert(peer, found);
            }
        }
        tokio::time::sleep(wait).await;
    }
}
