//! The number of entries that share a limit, as an entry that starts learns it.

use std::rc::Rc;
use std::time::Duration;

use base::clock::SystemClock;
use base::stop::StopSignal;
use forward::gossip::GossipEndpoint;
use forward::settings::Settings;
use forward::state::State;
use tokio::net::UdpSocket;
use wire::gossip::{self, Member, Membership, Message};

use crate::common::{NoCallsDialect, wait_until};

/// Guards against a starting entry taking the shares of all others in the limits that they
/// divide among them, since it knows itself only.
#[actix_rt::test]
async fn limits_used_before_another_entry_is_known() {
    let seed = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let seed_addr = seed.local_addr().expect("an address");
    // Seeds are asked at the port of the entry's own gossip.
    let own = format!("127.0.0.2:{}", seed_addr.port());
    let socket = UdpSocket::bind(&own).await.expect("a socket");
    let settings = serde_json::json!({
        "name": "e", "zone": "a", "listen": own, "ready": own, "ready_path": "/ready", "metrics": own, "gossip": own,
        "store": own, "grace_s": 8.0, "repeat_ratio": 0.2, "repeat_window_s": 10.0,
        "repeat_slack": 100.0, "seeds": [seed_addr],
    });
    let settings: Settings = serde_json::from_value(settings).expect("settings");
    let state = State::new(settings, Rc::new(NoCallsDialect), Rc::new(SystemClock));
    let endpoint = GossipEndpoint::new(Rc::clone(&state), socket);
    let stop = StopSignal::new();
    actix_rt::spawn(endpoint.run(stop.clone()));

    let service = Rc::from("app");
    let entries = || {
        let now = state.clock.now();
        let mut budget = state.repeat_budget.borrow_mut();
        budget.balance(now, &service).entries
    };
    // Several rounds of the endpoint pass.
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(entries(), 0);

    let member = Member {
        addr: seed_addr,
        zone: 1,
        link_mbps: 100,
        ttl_ms: 10_000,
        staleness_ms: None,
    };
    let known = Message::Membership(Membership {
        entry_count: 3,
        zone_count: 1,
        position: 0,
        members: vec![member],
        totals: None,
    });
    let sent = seed.send_to(&gossip::encode(known), &own).await;
    sent.expect("a datagram");
    wait_until("the entries are counted", || entries() == 3).await;
    stop.trigger();
}
