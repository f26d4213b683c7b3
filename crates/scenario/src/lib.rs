//! Scripted scenarios that run the production decision logic with a manual
//! clock.
//!
//! The package has tests only: `tests/scenarios/` holds the scripts, each with a
//! description at its head, and `tests/run/` implements their commands. Adding
//! a scenario needs no Rust. See docs/DEVELOPERS.md.
