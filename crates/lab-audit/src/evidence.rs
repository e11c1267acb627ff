//! What was observed on the sockets: by clients on one side, by nodes and discovery on the other, never by the proxy itself.

use aniseyoke_lab_day::clock::{Clock, Nanos};
use aniseyoke_lab_world::EndpointState;
use std::cell::RefCell;
use std::sync::mpsc::SyncSender;

/// Something that was observed. Histories of requests in reports show these as they are named here.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client has begun to send a request.
    Began {
        /// The request.
        request: u64,
        /// The proxy that it is sent to.
        proxy: usize,
    },
    /// A client has written a request's last byte.
    Asked {
        /// The request.
        request: u64,
        /// The class, as the day numbers them.
        class: usize,
        /// How long the client waits from here on.
        patience: Nanos,
        /// Another request went over the connection before.
        reused: bool,
    },
    /// A whole response has come.
    Answered {
        /// The request.
        request: u64,
        /// Its status.
        status: u16,
        /// A digest of its body.
        digest: u64,
    },
    /// More bytes came after the response than belong to it.
    Surplus {
        /// The request.
        request: u64,
    },
    /// The proxy ended the connection without a whole response.
    Broken {
        /// The request.
        request: u64,
        /// Whether a part of a response had come.
        partial: bool,
    },
    /// No response came before the client gave up.
    GaveUp {
        /// The request.
        request: u64,
    },
    /// The client disconnected by itself.
    Left {
        /// The request.
        request: u64,
    },
    /// A request's first byte arrived at a member.
    Reached {
        /// The request.
        request: u64,
        /// The member.
        member: usize,
        /// The attempt, as the site numbers them.
        attempt: u64,
    },
    /// Its last byte arrived.
    Arrived {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
    },
    /// A write has begun to execute.
    Ran {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
    },
    /// A member has made a response, or has dropped the attempt.
    Made {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
        /// Its status; 0 if the attempt was dropped unanswered.
        status: u16,
        /// A digest of its body.
        digest: u64,
        /// Whether the member says that it was never executed.
        never_ran: bool,
        /// Whether it is sent whole and valid.
        sound: bool,
    },
    /// A request arrived at a member with an id that can't be read, or with none.
    Stray {
        /// The member.
        member: usize,
    },
    /// Discovery has a new version of its list.
    Listed {
        /// The member.
        member: usize,
        /// How it is listed.
        standing: EndpointState,
    },
    /// Discovery has notified a proxy of this.
    Told {
        /// The proxy.
        proxy: usize,
        /// The member.
        member: usize,
        /// How it is listed.
        standing: EndpointState,
    },
    /// A cold node went down by overload.
    Fell {
        /// The member.
        member: usize,
    },
    /// The origin went down by overload.
    Stopped {
        /// The fraction of its load that misses at cold nodes caused.
        cold_part: f64,
    },
    /// A proxy's process started; it has been notified of nothing yet.
    Started {
        /// The proxy.
        proxy: usize,
    },
    /// The fault rig killed or paused a proxy; requests in flight there, or sent there before `until`, may go unanswered.
    Struck {
        /// The proxy.
        proxy: usize,
        /// When it is back, on the same clock.
        until: Nanos,
    },
    /// A proxy crashed.
    Crashed {
        /// The proxy.
        proxy: usize,
    },
}

impl Observation {
    /// The request that it is about, if any.
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

/// Something observed, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// When it was observed.
    pub at: Nanos,
    /// What was observed.
    pub observed: Observation,
}

/// Evidence is handed to the auditor in batches of this many.
const BATCH: usize = 256;

/// Records evidence of one thread for the auditor. A full channel blocks the thread, which its lateness then shows;
/// evidence is never dropped.
pub struct Recorder {
    clock: Clock,
    batch: RefCell<Vec<Evidence>>,
    out: Option<SyncSender<Vec<Evidence>>>,
}

impl Recorder {
    /// A recorder that hands evidence to an auditor.
    pub fn new(clock: Clock, out: SyncSender<Vec<Evidence>>) -> Self {
        Recorder { clock, batch: RefCell::default(), out: Some(out) }
    }

    /// A recorder that discards everything.
    pub fn discarding(clock: Clock) -> Self {
        Recorder { clock, batch: RefCell::default(), out: None }
    }

    /// Records an observation of now.
    pub fn record(&self, observed: Observation) {
        self.record_at(self.clock.now(), observed);
    }

    /// Records an earlier observation.
    pub fn record_at(&self, at: Nanos, observed: Observation) {
        if self.out.is_none() {
            return;
        }
        let mut batch = self.batch.borrow_mut();
        batch.push(Evidence { at, observed });
        if batch.len() >= BATCH {
            self.send(std::mem::take(&mut batch));
        }
    }

    /// Hands over what has been recorded.
    pub fn flush(&self) {
        let batch = self.batch.take();
        if !batch.is_empty() {
            self.send(batch);
        }
    }

    fn send(&self, batch: Vec<Evidence>) {
        if let Some(out) = &self.out {
            // An auditor that has ended wants no more.
            let _ = out.send(batch);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.flush();
    }
}
