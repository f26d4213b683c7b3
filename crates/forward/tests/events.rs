//! Where the events of a stream end.

use forward::events::EventSplitter;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// However a stream is cut into pieces on its way, the same events come
    /// out, whole and in order, and nothing of them is lost.
    #[test]
    fn pieces_do_not_matter(
        texts in proptest::collection::vec("[a-z]{0,12}", 0..12),
        cuts in proptest::collection::vec(1usize..9, 1..40),
        tail in "[a-z:]{0,9}",
    ) {
        let event = |(i, text): (usize, &String)| format!("id: {i}\ndata: {text}\n\n");
        let events: Vec<String> = texts.iter().enumerate().map(event).collect();
        let all = events.concat() + &tail;
        let mut splitter = EventSplitter::default();
        let (mut rest, mut out, mut cuts) = (all.as_bytes(), Vec::new(), cuts.iter().cycle());
        while !rest.is_empty() {
            let length = rest.len().min(*cuts.next().unwrap_or(&1));
            splitter.push(&rest[..length]);
            rest = &rest[length..];
            while let Some(event) = splitter.next_event() {
                out.push((event.id, String::from_utf8_lossy(&event.bytes).into_owned()));
            }
        }
        let wanted: Vec<_> = events.into_iter().enumerate().map(|(i, e)| (Some(i as u64), e)).collect();
        prop_assert_eq!(out, wanted);
        prop_assert_eq!(splitter.take_pending(), tail.as_bytes());
    }

    #[test]
    fn any_bytes_are_taken(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut splitter = EventSplitter::default();
        splitter.push(&bytes);
        let mut taken = 0;
        while let Some(event) = splitter.next_event() {
            taken += event.bytes.len();
        }
        prop_assert_eq!(taken + splitter.pending_len(), bytes.len());
    }
}
