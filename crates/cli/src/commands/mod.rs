//! The commands of the program, one module for each group.

pub(crate) mod bench;
pub(crate) mod bundle;
pub(crate) mod compare;
pub(crate) mod daemons;
pub(crate) mod demo;
pub(crate) mod explain;
pub(crate) mod keys;
pub(crate) mod load;
pub(crate) mod standin;
pub(crate) mod status;
