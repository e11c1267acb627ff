//! Publishers of purges and versions. Each publisher makes one call at a time and starts each one at its due time, or
//! once the call before has been answered.

use super::now;
use aniseyoke_control::frame::{OperatorRequest, OperatorResponse};
use aniseyoke_control::operators::call;
use aniseyoke_control::rollout::Plan;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time after which a call without an answer is retried.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A published purge or version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Published {
    /// The number in the purge log, or of the version.
    pub number: u64,
    /// The due time, from the start of the schedule.
    pub due: Duration,
    /// The due time on the machine's monotonic clock.
    pub due_at: u64,
    /// The time of the first call, on the same clock.
    pub called_at: u64,
    /// The time of the answer, on the same clock.
    pub answered_at: u64,
}

/// Everything that the publishers have published, and the retries of their calls.
#[derive(Default)]
pub struct PublishLog {
    /// The published purges.
    pub purges: Mutex<Vec<Published>>,
    /// The published versions.
    pub changes: Mutex<Vec<Published>>,
    /// The number of failed calls that were retried.
    pub retries: AtomicUsize,
    /// The reason for the last retry.
    pub last_failure: Mutex<String>,
    /// Set to stop the publishers.
    pub stop: AtomicBool,
}

/// Creates the request for the `n`th purge or version of a publisher.
pub type RequestFactory = Box<dyn Fn(usize) -> OperatorRequest + Send>;

impl PublishLog {
    /// Returns a copy of the purges or versions published so far.
    pub fn snapshot(list: &Mutex<Vec<Published>>) -> Vec<Published> {
        list.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Repeats the call until it succeeds or the publishers are stopped.
    async fn publish(&self, operators: SocketAddr, publish: &OperatorRequest, due: Duration, due_at: u64) {
        let called_at = now();
        let published = |number| Published { number, due, due_at, called_at, answered_at: now() };
        while !self.stop.load(Ordering::Relaxed) {
            match timeout(ANSWER_TIMEOUT, call(operators, publish)).await {
                Ok(Ok(OperatorResponse::PurgeAccepted { through, .. })) => {
                    return append(&self.purges, published(through))
                }
                Ok(Ok(OperatorResponse::Published { stamp })) => {
                    return append(&self.changes, published(stamp.number))
                }
                Ok(Ok(other)) => self.record_failure(format!("{other:?}")),
                Ok(Err(why)) => self.record_failure(why.to_string()),
                Err(_) => self.record_failure(format!("{operators}: no answer in time")),
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn record_failure(&self, why: String) {
        self.retries.fetch_add(1, Ordering::Relaxed);
        *self.last_failure.lock().unwrap_or_else(PoisonError::into_inner) = why;
    }
}

fn append(list: &Mutex<Vec<Published>>, published: Published) {
    list.lock().unwrap_or_else(PoisonError::into_inner).push(published);
}

/// Starts a publisher on its own thread. It calls the service at `operators` for each due time, relative to `start`.
///
/// # Errors
/// Fails if the system has no threads or file descriptors available.
pub fn start(
    log: Arc<PublishLog>,
    operators: SocketAddr,
    start: u64,
    due: Vec<Duration>,
    publish: RequestFactory,
) -> std::io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("publisher".into()).spawn(move || {
        runtime.block_on(async {
            for (n, due) in due.into_iter().enumerate() {
                let due_at = start + due.as_nanos() as u64;
                sleep(Duration::from_nanos(due_at.saturating_sub(now()))).await;
                log.publish(operators, &publish(n), due, due_at).await;
            }
        });
    })
}

/// Creates the request for the `n`th purge of a publisher.
pub fn purge(publisher: usize, n: usize) -> OperatorRequest {
    OperatorRequest::Purge {
        publisher: format!("publisher-{publisher}"),
        sequence: n as u64 + 1,
        keys: vec![format!("object-{publisher}-{n}")],
    }
}

/// Creates the request that publishes a version.
pub fn version(body: Value) -> OperatorRequest {
    OperatorRequest::Publish { body, plan: Plan::default() }
}
