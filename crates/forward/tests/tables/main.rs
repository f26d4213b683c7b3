//! Replication of the store's tables during outages of the store and of neighbours.

mod common;
mod crashes;
mod entry_count;
mod follow;
mod neighbours;
mod origin_log;
mod versions;
