//! Purges and versions through a tree of real processes: the program as root and relays, with leaves in the test.

mod faults;
mod leaf;
mod link;
mod path;
mod rate;
mod roots;
mod tree;
