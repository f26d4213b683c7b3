//! Routing of requests through an entry to scripted sidecars, with failures.

mod fake;
mod offers;
mod retries;
