//! The text protocol of the bench: one message a line, fields separated by single spaces, `-` for an absent one.

mod fields;
mod parse;
mod write;

pub use fields::WireError;
pub use parse::parse;
pub use write::write;

use aniseyoke_decision::api::{Entry, Event, ListKind, Nanos, Outcome, Settings};

/// A message to the adapter.
#[derive(Clone, Debug)]
pub enum Message {
    /// A batch begins at this time.
    BatchStart(Nanos),
    /// The batch is complete.
    BatchEnd,
    /// A numbered list follows.
    PageStart {
        /// The number of the list, 0 to 15.
        number: usize,
        /// How many entries follow.
        count: usize,
    },
    /// One entry of the list, with the server's name.
    PageEntry(String, Entry),
    /// An instance starts.
    InstanceStart {
        /// The instance.
        instance: String,
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance is gone.
    InstanceStop(String),
    /// An instance is notified of servers; the entries are those of a numbered list.
    EndpointList {
        /// The instance.
        instance: String,
        /// What the entries are.
        kind: ListKind,
        /// The number of the list.
        page: usize,
    },
    /// An attempt of an instance has ended.
    Outcome {
        /// The instance.
        instance: String,
        /// How it ended.
        outcome: Outcome,
        /// The columns of the server's load report; empty where none came along.
        load_report: Vec<Option<f64>>,
    },
    /// Any other event of an instance.
    Event {
        /// The instance.
        instance: String,
        /// The event.
        event: Event,
    },
    /// A message that this build does not use.
    Ignored,
}
