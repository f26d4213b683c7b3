//! Keeping level with the store's tables, through its outages and those of
//! neighbours.

mod common;
mod crashes;
mod follow;
mod neighbours;
