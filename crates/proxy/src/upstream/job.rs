//! A client's request as attempts carry it.

use super::handle::AttemptHandle;
use crate::socket::{Presence, Waiter};
use crate::upload::Payload;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Weak;
use tokio::time::Instant;

/// A client's request as it goes on to any cache node.
pub struct Job {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Payload,
    /// Who waits for the answer.
    pub waiter: Option<Waiter>,
}

/// Nothing tells whether the client is still there. An attempt that may be for nobody is not begun.
pub(super) struct ClientUnknown;

impl Job {
    /// Returns if the client still waits, and whether that had to be asked for; never if it has gone: who waits for the client
    /// ends the attempt then.
    ///
    /// Between the decision on an attempt and its writing lie a queue, a timer, a permit to open a connection and the
    /// connection itself; the client may have left by then, unseen by a process that was busy.
    pub(super) async fn confirm_client(&self, handle: &AttemptHandle) -> Result<bool, ClientUnknown> {
        let presence = match &self.waiter {
            // A client that has its answer must get nothing behind it, and asking sends something.
            Some(waiter) if !handle.forbids_writing(Instant::now()) => waiter.presence().await,
            _ => Presence::Present,
        };
        match presence {
            Presence::Present => Ok(false),
            Presence::Probed => Ok(true),
            Presence::Unknown => Err(ClientUnknown),
            Presence::Gone => std::future::pending().await,
        }
    }
}

impl aniseyoke_core::Job for Job {
    fn key(&self) -> &[u8] {
        let path = self.uri.path().strip_prefix('/').unwrap_or("");
        path.split_once('/').map_or("", |(_, key)| key).as_bytes()
    }

    fn body_pending(&self) -> bool {
        self.body.upload().is_some()
    }

    fn on_body_received(&self, then: impl FnOnce() + 'static) {
        if let Some(upload) = self.body.upload() {
            upload.on_taken(then);
        }
    }

    /// Holds the upload alone: a wait that held the job would hold the connection of its body as well.
    async fn body_received(job: Weak<Job>) {
        let Some(upload) = job.upgrade().map(|job| job.body.upload().cloned()) else { return };
        if let Some(upload) = upload {
            upload.taken().await;
        }
    }
}
