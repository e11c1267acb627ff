//! A client's request, as attempts send it.

use super::handle::AttemptHandle;
use crate::request_ids::ReservedId;
use crate::socket::{PeerHandle, Presence};
use crate::upload::Payload;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use std::rc::{Rc, Weak};
use tokio::time::Instant;

/// A client's request as it is forwarded to any node.
pub struct Job {
    /// The id that the client chose.
    pub id: HeaderValue,
    pub method: Method,
    /// Reserves the id until the last attempt has ended.
    pub reserved_id: Option<Rc<ReservedId>>,
    /// The path and query.
    pub uri: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    pub body: Payload,
    /// The client that waits for the answer, where its presence can be checked.
    pub client_handle: Option<PeerHandle>,
}

/// It is unknown whether the client is still connected; no attempt is started then, as it might be for
/// nobody.
pub(super) struct ClientUnknown;

impl Job {
    /// Checks that the client still waits, and returns whether it had to be probed. Never returns if the
    /// client has gone: the task that watches the client then ends the attempt.
    ///
    /// Between the decision on an attempt and its first write, the attempt may wait in a queue, for a timer,
    /// for a permit to open a connection and for the connection itself. A busy process may not notice that
    /// the client left in that time.
    pub(super) async fn confirm_client(&self, handle: &AttemptHandle) -> Result<bool, ClientUnknown> {
        let presence = match &self.client_handle {
            // A probe sends bytes, and a client that has its answer must not receive any after it.
            Some(client_handle) if !handle.forbids_writing(Instant::now()) => client_handle.presence().await,
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
        self.body.upload().is_some_and(|upload| upload.arrival().at().is_none())
    }

    fn on_body_received(&self, callback: impl FnOnce(std::time::Instant) + 'static) {
        if let Some(upload) = self.body.upload() {
            upload.arrival().on_arrival(|at| callback(at.into_std()));
        }
    }

    /// Keeps only the arrival alive: keeping the job would also keep the client connection that its body
    /// belongs to.
    async fn body_received(job: Weak<Job>) -> std::time::Instant {
        let arrival = |job: Rc<Job>| job.body.upload().map(|upload| upload.arrival().clone());
        match job.upgrade().and_then(arrival) {
            Some(arrival) => arrival.wait().await.into_std(),
            None => std::time::Instant::now(),
        }
    }
}
