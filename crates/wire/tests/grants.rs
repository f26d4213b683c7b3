//! Datagrams between entries and sidecars.

use rstest::rstest;
use wire::grants::{Answer, Ask, LARGEST, Look, PARTS, Verdict, Want, What, decode, encode};

fn want() -> Want {
    Want {
        name: "9c41d07be2a35f68".to_owned(),
        server: "i-7f3a91c2".to_owned(),
        born: Some(1_790_000_000_123),
        parts: vec![(u64::MAX, u32::MAX); PARTS],
        allowed_ms: 400,
        left_ms: 4_000,
        gap_ms: Some(150),
        slots: 32,
        rank: 5,
        home: true,
        must: false,
        source: 13_300,
        copy_ns: Some(2_383),
    }
}

#[rstest]
#[case::want(What::Want(want()))]
#[case::look(What::Look(Look { server: "i-1".to_owned(), parts: want().parts }))]
#[case::fetches(What::Fetches(13_300))]
#[case::begun(What::Begun)]
#[case::ended(What::Ended { pause_ms: 70 })]
fn ask_read_as_written(#[case] what: What) {
    let ask = Ask {
        life: u64::MAX,
        number: 7,
        what,
    };
    let bytes = encode(&ask);
    assert!(bytes.len() <= LARGEST);
    assert_eq!(decode::<Ask>(&bytes).expect("understood"), ask);
}

#[rstest]
#[case::granted(Verdict::Granted)]
#[case::queued(Verdict::Queued(250))]
#[case::refused(Verdict::Refused(900))]
#[case::gone(Verdict::Gone)]
#[case::told(Verdict::Told)]
fn answer_read_as_written(#[case] verdict: Verdict) {
    let answer = Answer {
        number: 7,
        verdict,
        held: 13_300,
        fetch: true,
    };
    assert_eq!(
        decode::<Answer>(&encode(&answer)).expect("understood"),
        answer
    );
}

/// A datagram of another version, or cut short, is an error and nothing else.
#[rstest]
#[case::empty(&[])]
#[case::version(&[9, 1, 2, 3])]
#[case::short(&[2, 7])]
fn odd_bytes_refused(#[case] bytes: &[u8]) {
    assert!(decode::<Ask>(bytes).is_err());
}
