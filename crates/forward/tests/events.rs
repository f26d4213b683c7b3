//! Tests of the splitter for server-sent events.

use forward::events::EventSplitter;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// The events do not depend on how the stream is divided into chunks: all of them are
    /// returned completely and in order.
    #[test]
    fn chunk_boundaries_do_not_matter(
        texts in proptest::collection::vec("[a-z]{0,12}", 0..12),
        chunk_sizes in proptest::collection::vec(1usize..9, 1..40),
        tail in "[a-z:]{0,9}",
    ) {
        let event = |(i, text): (usize, &String)| format!("id: {i}\ndata: {text}\n\n");
        let events: Vec<String> = texts.iter().enumerate().map(event).collect();
        let all = events.concat() + &tail;
        let mut splitter = EventSplitter::default();
        let (mut rest, mut out, mut chunk_sizes) = (all.as_bytes(), Vec::new(), chunk_sizes.iter().cycle());
        while !rest.is_empty() {
            let length = rest.len().min(*chunk_sizes.next().unwrap_or(&1));
            splitter.push(&rest[..length]);
            rest = &rest[length..];
            while let Some(event) = splitter.next_event() {
                out.push((event.id, String::from_utf8_lossy(&event.bytes).into_owned()));
            }
        }
        let expected: Vec<_> = events.into_iter().enumerate().map(|(i, e)| (Some(i as u64), e)).collect();
        prop_assert_eq!(out, expected);
        prop_assert_eq!(splitter.take_pending(), tail.as_bytes());
    }

    #[test]
    fn arbitrary_bytes_lose_nothing(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut splitter = EventSplitter::default();
        splitter.push(&bytes);
        let mut returned = 0;
        while let Some(event) = splitter.next_event() {
            returned += event.bytes.len();
        }
        prop_assert_eq!(returned + splitter.pending_len(), bytes.len());
    }
}
