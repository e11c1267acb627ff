//! Observations on the sockets: by clients on one side, by nodes and discovery on the other, never by the proxy
//! itself.

use aniseyoke_lab_day::clock::{Clock, Nanos};
use aniseyoke_lab_world::EndpointState;
use std::cell::RefCell;
use std::sync::mpsc::SyncSender;

/// An event that was observed. The histories of requests in reports show these names.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client began to send a request.
    Began {
        /// The request.
        request: u64,
        /// The proxy to which the client sends it.
        proxy: usize,
    },
    /// A client wrote the last byte of a request.
    Asked {
        /// The request.
        request: u64,
        /// The index of the class in the day.
        class: usize,
        /// How long the client waits for the response from now.
        patience: Nanos,
        /// Whether the connection was used by an earlier request.
        reused: bool,
    },
    /// A client received a complete response.
    Answered {
        /// The request.
        request: u64,
        /// The status of the response.
        status: u16,
        /// A digest of the body.
        digest: u64,
    },
    /// Surplus bytes followed the response.
    Surplus {
        /// The request.
        request: u64,
    },
    /// The proxy closed the connection before the response was complete.
    Broken {
        /// The request.
        request: u64,
        /// Whether a part of the response had been received.
        partial: bool,
    },
    /// The client gave up before it received a response.
    GaveUp {
        /// The request.
        request: u64,
    },
    /// The client disconnected early.
    Left {
        /// The request.
        request: u64,
    },
    /// The first byte of a request arrived at a member.
    Reached {
        /// The request.
        request: u64,
        /// The member.
        member: usize,
        /// The number of the attempt in the site.
        attempt: u64,
    },
    /// The last byte of a request arrived at a member.
    Arrived {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
    },
    /// The execution of a write began.
    Ran {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
    },
    /// A member made a response or dropped the attempt.
    Made {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
        /// The status of the response; 0 if the attempt was dropped without a response.
        status: u16,
        /// A digest of the body.
        digest: u64,
        /// Whether the member reports that the attempt was never executed.
        never_ran: bool,
        /// Whether the response is sent completely and is valid.
        sound: bool,
    },
    /// A request with an unreadable id, or without one, arrived at a member.
    Stray {
        /// The member.
        member: usize,
    },
    /// Discovery changed the entry of a member in its endpoint list.
    Listed {
        /// The member.
        member: usize,
        /// The listed state of the member.
        standing: EndpointState,
    },
    /// Discovery notified a proxy of the state of a member.
    Told {
        /// The proxy.
        proxy: usize,
        /// The member.
        member: usize,
        /// The listed state of the member.
        standing: EndpointState,
    },
    /// A cold node went down by overload.
    Fell {
        /// The member.
        member: usize,
    },
    /// The origin went down by overload.
    Stopped {
        /// The fraction of the origin's load that was caused by misses at cold nodes.
        cold_part: f64,
    },
    /// A proxy process started; it has not been notified of any state yet.
    Started {
        /// The proxy.
        proxy: usize,
    },
    /// The fault rig killed or paused a proxy. Requests that are in flight there, or are sent there before `until`,
    /// may get no response.
    FaultInjected {
        /// The proxy.
        proxy: usize,
        /// The end of the fault, on the same clock.
        until: Nanos,
    },
    /// A proxy crashed.
    Crashed {
        /// The proxy.
        proxy: usize,
    },
}

impl Observation {
    /// Returns the request that the observation concerns, if any.
    pub fn request(&self) -> Option<u64> {
        match *self {
            Observation::Began { request, .. }
            | Observation::Asked { request, .. }
            | Observation::Answered { request, .. }
            | Observation::Surplus { request }
            | Observation::Broken { request, .. }
            | Observation::GaveUp { request }
            | Observation::Left { request }
            | Observation::Reached { request, .. }
            | Observation::Arrived { request, .. }
            | Observation::Ran { request, .. }
            | Observation::Made { request, .. } => Some(request),
            _ => None,
        }
    }
}

/// An observation and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The time of the observation.
    pub at: Nanos,
    /// The observation.
    pub observed: Observation,
}

/// Number of observations in a batch for the auditor.
const BATCH_SIZE: usize = 256;

/// Records the evidence of one thread for the auditor. A full channel blocks the thread, which shows in its measured
/// lateness; evidence is never dropped.
pub struct Recorder {
    clock: Clock,
    batch: RefCell<Vec<Evidence>>,
    sender: Option<SyncSender<Vec<Evidence>>>,
}

impl Recorder {
    /// Creates a recorder that sends evidence to an auditor.
    pub fn new(clock: Clock, sender: SyncSender<Vec<Evidence>>) -> Self {
        Recorder { clock, batch: RefCell::default(), sender: Some(sender) }
    }

    /// Creates a recorder that discards all observations.
    pub fn discarding(clock: Clock) -> Self {
        Recorder { clock, batch: RefCell::default(), sender: None }
    }

    /// Records an observation with the current time.
    pub fn record(&self, observed: Observation) {
        self.record_at(self.clock.now(), observed);
    }

    /// Records an observation with an earlier time.
    pub fn record_at(&self, at: Nanos, observed: Observation) {
        if self.sender.is_none() {
            return;
        }
        let mut batch = self.batch.borrow_mut();
        batch.push(Evidence { at, observed });
        if batch.len() >= BATCH_SIZE {
            self.send(std::mem::take(&mut batch));
        }
    }

    /// Sends the recorded observations to the auditor.
    pub fn flush(&self) {
        let batch = self.batch.take();
        if !batch.is_empty() {
            self.send(batch);
        }
    }

    fn send(&self, batch: Vec<Evidence>) {
        if let Some(sender) = &self.sender {
            // Sending fails only if the auditor has ended, and evidence is not needed then.
            let _ = sender.send(batch);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.flush();
    }
}
