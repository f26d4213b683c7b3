//! Failures on a request's way through an entry, played by scripted sidecars.

mod fake;
mod offers;
mod retries;
