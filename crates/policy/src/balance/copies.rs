//! The engines that may hold copies of other engines' streams.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::{Balancer, Server, ServerRecord};
use crate::rendezvous::score;

/// Which engine is to hold the copy of a stream.
#[derive(Debug, Clone, Copy)]
pub struct CopyQuery<'a> {
    /// The engine that runs the stream.
    pub source: &'a ServerRecord,
    /// Hash of the stream's request ID.
    pub stream: u64,
    /// A server with open calls that has sent nothing for this long is passed
    /// over.
    pub silence_timeout: Duration,
}

impl Balancer {
    /// The engines that may hold the copy of a stream, the best first: other
    /// engines of its service and software version that take calls, are healthy
    /// and have not asked for fewer calls; those of other availability zones before those of the
    /// stream's own, since the engines of a zone can fail together; then by
    /// rendezvous score, so that one engine's streams spread over many.
    #[must_use]
    pub fn copy_hosts(&self, now: Instant, query: &CopyQuery<'_>) -> Vec<&ServerRecord> {
        let source = query.source;
        let usable = |s: &&Server| {
            s.serves(&source.service)
                && s.record.id != source.id
                && s.record.addr != source.addr
                && s.record.version == source.version
                && s.is_healthy(now, query.silence_timeout)
                && !s.feedback.is_active(now)
        };
        let mut usable: Vec<&Server> = self.servers.values().filter(usable).collect();
        usable.sort_by_cached_key(|s| {
            let rank = score(query.stream, s.name_hash);
            (s.record.zone == source.zone, Reverse(rank))
        });
        usable.into_iter().map(|s| &s.record).collect()
    }

    /// Whether this incarnation of a server takes calls at the same address. It
    /// may have been missing from the list for a moment, since the list loses
    /// live servers while the store is unavailable.
    #[must_use]
    pub fn is_current(&self, now: Instant, record: &ServerRecord) -> bool {
        let mut callable = self.callable(now, &record.service);
        callable.any(|s| {
            s.record.id == record.id
                && s.record.started_ms == record.started_ms
                && s.record.addr == record.addr
        })
    }
}
