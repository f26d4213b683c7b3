//! Datagrams between entries.

use wire::gossip::{
    MAX_DATAGRAM_BYTES, MAX_ORIGINS, Message, Origin, OriginMessage, StreamOrigin, decode, encode,
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
