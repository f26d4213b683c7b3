//! Datagrams between entries.

use wire::gossip::{
    CrashReport, EntryLoad, LoadScope, MAX_DATAGRAM_BYTES, MAX_ORIGINS, Message, Origin,
    OriginMessage, StreamOrigin, WantedReply, decode, encode,
};

/// Guards against records of streams that do not fit one datagram and are lost with it.
#[test]
fn most_origins_fit_a_datagram() {
    let origin = StreamOrigin {
        stream: u64::MAX,
        origin: Origin {
            service_number: u32::MAX,
            version: u32::MAX,
        },
        ttl_ms: u32::MAX,
    };
    let message = Message::Origins(OriginMessage::Records(vec![origin; MAX_ORIGINS]));
    let bytes = encode(message.clone());
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode(&bytes).expect("a message"), message);
}

/// Guards against crashes under calls with many parts that do not fit one datagram and are
/// lost with it. The first ones must arrive.
#[test]
fn crashes_with_many_parts_fit_a_datagram() {
    let crash = |n: u8| CrashReport {
        fingerprint: [n; 16],
        incarnation: u64::MAX,
        age_ms: u32::MAX,
        run_ms: u32::MAX,
        just_began: true,
        shared_parts: vec![u64::MAX; 32],
    };
    let load = EntryLoad {
        incarnation: u64::MAX,
        seq: u32::MAX,
        interval_ms: u32::MAX,
        wall_ms: u64::MAX,
        zone: u32::MAX,
        link_mbps: u32::MAX,
        staleness_ms: Some(u32::MAX),
        wanted_reply: WantedReply::Entries,
        scope: LoadScope::Own,
        entries: u32::MAX,
        services: Vec::new(),
        calls: vec![(u16::MAX, u16::MAX, u16::MAX); 100],
        crashes: (0..16).map(crash).collect(),
        sound_parts: vec![(u64::MAX, u32::MAX); 16],
        paces: Vec::new(),
        workspaces: Vec::new(),
    };
    let bytes = encode(Message::Load(load));
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    let Ok(Message::Load(received)) = decode(&bytes) else {
        panic!("not a load");
    };
    assert!(!received.crashes.is_empty());
    assert_eq!(received.crashes[0], crash(0));
}
