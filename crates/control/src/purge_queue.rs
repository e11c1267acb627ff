//! The queue of purge requests that publishers have sent, which the purge writer consumes.

use crate::frame::OperatorResponse;
use crate::purge_log::PurgeRequest;
use aniseyoke_fanout::publishers::MAX_NAME_BYTES;
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of keys in one request.
const MAX_KEYS: usize = 10_000;
/// Maximum number of requests in the queue, and in a batch that is stored as one record.
pub(crate) const MAX_REQUESTS: usize = 64;

/// A request in the queue.
pub(crate) struct PendingPurge {
    pub request: PurgeRequest,
    /// The channel for its response. The receiving end may be closed already.
    pub response: oneshot::Sender<OperatorResponse>,
}

impl PendingPurge {
    /// Rejects the request with this reason.
    pub fn reject(self, reason: String) {
        _ = self.response.send(OperatorResponse::Rejected { reason });
    }
}

/// The sending half of the queue.
#[derive(Clone)]
pub(crate) struct PurgeQueue(mpsc::Sender<PendingPurge>);

/// Creates a queue. Returns its sending and its receiving half.
pub(crate) fn purge_queue() -> (PurgeQueue, mpsc::Receiver<PendingPurge>) {
    let (sender, receiver) = mpsc::channel(MAX_REQUESTS);
    (PurgeQueue(sender), receiver)
}

impl PurgeQueue {
    /// Queues a request and waits until its purges are stored and numbered. A request that is not valid, or
    /// arrives while the queue is full, is rejected at once.
    pub async fn submit(&self, publisher: String, sequence: u64, keys: &[String]) -> OperatorResponse {
        let reject = |reason: String| OperatorResponse::Rejected { reason };
        if publisher.is_empty() || publisher.len() > MAX_NAME_BYTES {
            return reject(format!("publisher: a name of 1 to {MAX_NAME_BYTES} bytes is expected"));
        }
        if keys.is_empty() || keys.len() > MAX_KEYS {
            let count = keys.len();
            return reject(format!("keys: one request has 1 to {MAX_KEYS} keys, and this one has {count}"));
        }
        let keys = keys.iter().map(|key| xxh3_64(key.as_bytes())).collect();
        let (response, received) = oneshot::channel();
        let request = PurgeRequest { publisher, sequence, keys };
        if self.0.try_send(PendingPurge { request, response }).is_err() {
            return reject(format!("{MAX_REQUESTS} requests wait already: retry this one"));
        }
        received.await.unwrap_or_else(|_| reject("the service is shutting down".into()))
    }
}
