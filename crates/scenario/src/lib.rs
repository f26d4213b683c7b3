//! Scripted scenarios that drive the real decisions under a manual clock.
//!
//! The package has tests only: `tests/scenarios/` holds the scripts, of which
//! each opens with its story, and `tests/run/` their small language. Adding a
//! scenario needs no Rust. See docs/DEVELOPERS.md.
