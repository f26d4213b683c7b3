//! Tests of a complete fleet over loopback sockets.
//!
//! - `sessions`: golden files of requests and answers.
//! - `callers`: callers that disconnect.

mod callers;
mod common;
mod sessions;
