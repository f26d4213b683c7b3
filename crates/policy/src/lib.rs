//! Decision logic without sockets, async runtime or clock: callers pass the
//! time in.
//!
//! Decisions of a sidecar:
//! - [`queue`]: which requests wait, start, or are shed or preempted.
//! - [`estimate`]: how long a request is expected to take.
//! - [`grants`]: which calls an engine gets, and when.
//! - [`shares`]: how contended servers are shared between workspaces.
//! - [`caches`]: which prompt prefixes the engine's KV cache holds.
//! - [`loading`]: how to get the wanted models and adapters loaded.
//! - [`lease`]: which entry may give orders to a backend server.
//! - [`backoff`]: when to ask a rate-limited service again.
//!
//! Decisions of an entry about calls that it routes directly:
//! - [`routes`]: which route a call takes and who may use it.
//! - [`balance`]: which backend server gets a call.
//! - [`pools`]: which engines prefill prompts and which decode answers.
//! - [`engine_search`]: which engines a call asks, and when it leaves one for another.
//! - [`paces`]: which engines of a service are fast or slow.
//! - [`moves`]: which streams move away from an engine that leaves, and how.
//! - [`pauses`]: how long prefill pauses the streams at the same engine.
//! - [`urgency`]: rank and latency limit of a call at engines.
//! - [`wait_estimate`]: whether a call would miss its deadline.
//! - [`link`]: whether the entry should accept new connections.
//! - [`discovery`]: how an entry discovers the other entries.
//! - [`roster`]: which entries exist, and which of them to exchange gossip with.
//! - [`peer_load`]: which calls the other entries have in progress.
//! - [`replica`]: an entry's replicas of the store's tables.
//! - [`readers`]: whether an entry reads the store or asks a neighbour.
//! - [`repeat_budget`]: how many calls may be repeated at a second server.
//! - [`versions`]: the software versions of each service's servers.
//! - [`origins`]: which software version began a stream that a caller takes up.
//! - [`origin_log`]: the log in the store of the versions that began streams.
//! - [`backup`]: which streams have a copy at a second engine.
//! - [`suspects`]: which requests crash the servers that run them.
//! - [`rendezvous`]: rendezvous hashing of servers.
//!
//! Decisions that one daemon makes for all:
//! - [`durations`]: how long the calls of each route take.
//! - [`duty`]: which daemon performs a duty.
//! - [`usage`]: what each workspace has used, and when it is reported.
//! - [`fleet_time`]: the time of day that the hosts agree on.
//! - [`scaling`]: how many backend servers a service has.
//!
//! Decisions of an entry about the chat interface:
//! - [`membership`]: which hosts exist.
//! - [`memory`]: how memory and descriptors are divided, and who gives way.
//! - [`subset`]: which backend servers an entry keeps connections to.
//! - [`placement`]: where to ask for a slot.
//! - [`load`]: how loaded and how fast servers are.
//! - [`offer`]: which of the offered slots to take.
//! - [`lengths`]: how long answers are.
//! - [`retry`]: whether a failed request may be retried.
//! - [`outlier`]: which servers are ejected for a while.

pub mod backoff;
pub mod backup;
pub mod balance;
pub mod caches;
pub mod discovery;
pub mod durations;
pub mod duty;
pub mod engine_search;
pub mod estimate;
pub mod fleet_time;
pub mod grants;
pub mod lease;
pub mod lengths;
pub mod link;
pub mod load;
pub mod loading;
pub mod membership;
pub mod memory;
pub mod moves;
pub mod offer;
pub mod origin_log;
pub mod origins;
pub mod outlier;
pub mod paces;
pub mod pauses;
pub mod peer_load;
pub mod placement;
pub mod pools;
pub mod queue;
pub mod readers;
pub mod rendezvous;
pub mod repeat_budget;
pub mod replica;
pub mod retry;
pub mod roster;
pub mod routes;
pub mod scaling;
pub mod shares;
pub mod subset;
pub mod suspects;
pub mod urgency;
pub mod usage;
pub mod versions;
pub mod wait_estimate;

pub use placement::Placement;
pub use queue::Queue;
