//! Encoding of the datagrams between entries and sidecars.

use rstest::rstest;
use wire::grants::{
    AdmissionRequest, GrantRequest, GrantResponse, MAX_DATAGRAM_BYTES, MAX_PROMPT_PARTS,
    PrefixLookup, RequestKind, Verdict, decode, encode,
};

fn admission_request() -> AdmissionRequest {
    AdmissionRequest {
        request_id: "9c41d07be2a35f68".to_owned(),
        server: "i-7f3a91c2".to_owned(),
        started_ms: Some(1_790_000_000_123),
        prompt_parts: vec![(u64::MAX, u32::MAX); MAX_PROMPT_PARTS],
        first_event_ms: 400,
        timeout_ms: 4_000,
        max_gap_ms: Some(150),
        slots: 32,
        priority: 5,
        is_home: true,
        forced: false,
        remote_tokens: 13_300,
        copy_ns: Some(2_383),
        workspace: Some(u64::MAX),
        output_tokens: u32::MAX,
    }
}

#[rstest]
#[case::admission(RequestKind::Admission(admission_request()))]
#[case::lookup(RequestKind::Lookup(PrefixLookup { server: "i-1".to_owned(), prompt_parts: admission_request().prompt_parts }))]
#[case::fetching(RequestKind::Fetching(13_300))]
#[case::first_event(RequestKind::FirstEvent)]
#[case::ended(RequestKind::Ended { pause_ms: 70, event_us: 24_000 })]
fn request_round_trip(#[case] kind: RequestKind) {
    let request = GrantRequest {
        incarnation: u64::MAX,
        call_number: 7,
        kind,
    };
    let bytes = encode(&request);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    assert_eq!(
        decode::<GrantRequest>(&bytes).expect("the datagram decodes"),
        request
    );
}

#[rstest]
#[case::granted(Verdict::Granted)]
#[case::queued(Verdict::Queued(250))]
#[case::refused(Verdict::Refused(900))]
#[case::server_gone(Verdict::ServerGone)]
#[case::acknowledged(Verdict::Acknowledged)]
fn response_round_trip(#[case] verdict: Verdict) {
    let response = GrantResponse {
        call_number: 7,
        verdict,
        cached_tokens: 13_300,
        prefer_fetch: true,
        event_us: 24_000,
        free_tokens: 90_000,
    };
    assert_eq!(
        decode::<GrantResponse>(&encode(&response)).expect("the datagram decodes"),
        response
    );
}

/// Guards against accepting a datagram of another version or a truncated one.
#[rstest]
#[case::empty(&[])]
#[case::version(&[9, 1, 2, 3])]
#[case::truncated(&[2, 7])]
fn malformed_datagram_rejected(#[case] bytes: &[u8]) {
    assert!(decode::<GrantRequest>(bytes).is_err());
}
