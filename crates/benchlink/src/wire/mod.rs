//! The simulator's text protocol: one message per line, fields separated by single spaces, `-` for an absent
//! field.

mod fields;
mod parse;
mod write;

pub use fields::WireError;
pub use parse::parse;
pub use write::write;

use aniseyoke_decision::api::{Entry, Event, ListKind, Nanos, Outcome, Settings};

/// A message from the simulator to the adapter.
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
        /// Number of entries that follow.
        count: usize,
    },
    /// One entry of the list, with the server's name.
    PageEntry(String, Entry),
    /// An instance starts.
    InstanceStart {
        /// The instance.
        instance: String,
        /// Seed of the instance's random number generator.
        seed: u64,
        /// Settings of the instance.
        settings: Box<Settings>,
    },
    /// An instance has stopped.
    InstanceStop(String),
    /// An endpoint list update for an instance; its entries are those of a numbered list.
    EndpointList {
        /// The instance.
        instance: String,
        /// The kind of update.
        kind: ListKind,
        /// The number of the list.
        page: usize,
    },
    /// An attempt made by an instance has ended.
    Outcome {
        /// The instance.
        instance: String,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// Columns of the server's load report. `None` where a column, or the whole report, is absent.
        load_report: Vec<Option<f64>>,
    },
    /// Any other event of an instance.
    Event {
        /// The instance.
        instance: String,
        /// The event.
        event: Event,
    },
    /// A valid message that the adapter does not use.
    Ignored,
}
