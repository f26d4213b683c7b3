//! Keeping level with the store's tables, through its outages and those of
//! neighbours.

mod common;
mod ends;
mod follow;
mod neighbours;
