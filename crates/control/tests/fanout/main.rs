//! Purges and versions through a tree of real processes: the built program as root and relays, leaves in the test.

mod leaf;
mod path;
mod tree;
