//! Tests of the distribution of purges and versions through a tree of processes: the root and the relays are processes of
//! the program, and the leaves run in the test.

mod faults;
mod leaf;
mod link;
mod path;
mod rate;
mod roots;
mod tree;
