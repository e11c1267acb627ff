//! What was seen on the sockets: by clients on one side, by nodes and discovery on the other. Never the proxy's word.

use aniseyoke_lab_day::clock::{Clock, Nanos};
use aniseyoke_lab_world::Standing;
use std::cell::RefCell;
use std::sync::mpsc::SyncSender;

/// Something that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
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
    /// A whole answer has come.
    Answered {
        /// The request.
        request: u64,
        /// Its status.
        status: u16,
        /// A digest of its body.
        digest: u64,
    },
    /// More came behind the answer than belongs to it.
    Surplus {
        /// The request.
        request: u64,
    },
    /// The proxy ended the connection without a whole answer.
    Broken {
        /// The request.
        request: u64,
        /// A part of an answer had come.
        partial: bool,
    },
    /// No answer came while the client waited.
    GaveUp {
        /// The request.
        request: u64,
    },
    /// The client left by itself.
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
    /// A write has begun to run.
    Ran {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
    },
    /// A member has made an answer, or has dropped the attempt.
    Made {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
        /// Its status; 0 if the attempt was dropped unanswered.
        status: u16,
        /// A digest of its body.
        digest: u64,
        /// The member says that it never ran.
        never_ran: bool,
        /// It is sent whole and sound.
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
        standing: Standing,
    },
    /// Discovery has written this to a proxy.
    Told {
        /// The proxy.
        proxy: usize,
        /// The member.
        member: usize,
        /// How it is listed.
        standing: Standing,
    },
    /// A cold node fell.
    Fell {
        /// The member.
        member: usize,
    },
    /// The ledger stopped.
    Stopped {
        /// The part of its load that misses at cold nodes caused.
        cold_part: f64,
    },
    /// A proxy started, by its own process, and has been told nothing yet.
    Started {
        /// The proxy.
        proxy: usize,
    },
    /// The fault rig killed or paused a proxy; what was out there, or is sent there before `until`, may go unanswered.
    Struck {
        /// The proxy.
        proxy: usize,
        /// When it is back, on the same clock.
        until: aniseyoke_lab_day::clock::Nanos,
    },
    /// A proxy ended that should not have.
    Crashed {
        /// The proxy.
        proxy: usize,
    },
}

impl Seen {
    /// The request that it is about, if any.
    pub fn request(&self) -> Option<u64> {
        match *self {
            Seen::Began { request, .. }
            | Seen::Asked { request, .. }
            | Seen::Answered { request, .. }
            | Seen::Surplus { request }
            | Seen::Broken { request, .. }
            | Seen::GaveUp { request }
            | Seen::Left { request }
            | Seen::Reached { request, .. }
            | Seen::Arrived { request, .. }
            | Seen::Ran { request, .. }
            | Seen::Made { request, .. } => Some(request),
            _ => None,
        }
    }
}

/// Something seen, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// When.
    pub at: Nanos,
    /// What.
    pub seen: Seen,
}

/// Evidence goes to the auditor in batches of so many.
const BATCH: usize = 256;

/// One thread's way to the auditor. A full channel holds the thread up, which its lateness then shows; evidence is
/// never dropped.
pub struct Recorder {
    clock: Clock,
    batch: RefCell<Vec<Evidence>>,
    out: Option<SyncSender<Vec<Evidence>>>,
}

impl Recorder {
    /// Writes to an auditor.
    pub fn new(clock: Clock, out: SyncSender<Vec<Evidence>>) -> Self {
        Recorder { clock, batch: RefCell::default(), out: Some(out) }
    }

    /// Writes nowhere.
    pub fn nowhere(clock: Clock) -> Self {
        Recorder { clock, batch: RefCell::default(), out: None }
    }

    /// Notes what is seen now.
    pub fn note(&self, seen: Seen) {
        self.note_at(self.clock.now(), seen);
    }

    /// Notes what was seen then.
    pub fn note_at(&self, at: Nanos, seen: Seen) {
        if self.out.is_none() {
            return;
        }
        let mut batch = self.batch.borrow_mut();
        batch.push(Evidence { at, seen });
        if batch.len() >= BATCH {
            self.send(std::mem::take(&mut batch));
        }
    }

    /// Hands over what has been noted.
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
