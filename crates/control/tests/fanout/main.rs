//! Purges and versions through a tree of real processes: the built program as root and relays, leaves in the test.

mod hard;
mod leaf;
mod path;
mod rate;
mod roots;
mod tree;
mod wire;
