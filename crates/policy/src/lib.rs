//! Decisions only: no sockets, no runtime and no clock of its own. Whoever
//! asks hands the time in.
//!
//! What a sidecar decides:
//! - [`queue`]: which requests wait, start, are shed or preempted.
//! - [`estimate`]: expected service times of requests.
//! - [`grants`]: which calls an engine is given, and when.
//! - [`caches`]: which prompt prefixes the engine holds.
//! - [`loading`]: the next step towards the models and adapters to have loaded.
//! - [`lease`]: which holder may give it orders.
//! - [`backoff`]: delay before asking a rate-limited service again.
//!
//! What an entry decides about the calls that it sends by itself:
//! - [`routes`]: which route a call takes and who may ask.
//! - [`balance`]: which backend server gets it.
//! - [`pools`]: which engines read prompts and which write answers.
//! - [`pauses`]: how long reading keeps streams beside it waiting.
//! - [`urgency`]: a call's rank and latency limit at engines.
//! - [`wait_estimate`]: whether a call would be too late.
//! - [`link`]: whether it should get new connections.
//! - [`discovery`]: how it finds the other entries.
//! - [`roster`]: which there are, and whom it speaks with.
//! - [`peer_load`]: what they have in progress.
//! - [`replica`]: its copies of the store's tables.
//! - [`readers`]: whether it reads them itself or asks a neighbour.
//! - [`repeat_budget`]: how many calls may be repeated at a second server.
//! - [`suspects`]: which requests crash the servers that run them.
//! - [`rendezvous`]: rendezvous hashing of servers.
//!
//! What one daemon does for all of them:
//! - [`duty`]: who performs a duty.
//! - [`usage`]: what each workspace has used, and when it is reported.
//! - [`fleet_time`]: the time of day that the hosts agree on.
//! - [`scaling`]: how many backend servers a service has.
//!
//! What an entry decides about the chat interface:
//! - [`membership`]: which hosts there are.
//! - [`subset`]: which backend servers one entry keeps connections to.
//! - [`placement`]: where to ask for a slot.
//! - [`load`]: load and latency of backend servers.
//! - [`offer`]: which of the offered slots to take.
//! - [`lengths`]: how long answers are.
//! - [`retry`]: when a request may be tried again.
//! - [`outlier`]: which servers get no requests for a while.

pub mod backoff;
pub mod balance;
pub mod caches;
pub mod discovery;
pub mod duty;
pub mod estimate;
pub mod fleet_time;
pub mod grants;
pub mod lease;
pub mod lengths;
pub mod link;
pub mod load;
pub mod loading;
pub mod membership;
pub mod offer;
pub mod outlier;
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
pub mod subset;
pub mod suspects;
pub mod urgency;
pub mod usage;
pub mod wait_estimate;

pub use placement::Placement;
pub use queue::Queue;
