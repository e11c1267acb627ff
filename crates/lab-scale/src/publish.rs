//! Publishers of purges and versions: each is published at its time, whatever became of the ones before.

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

/// A call without an answer is retried after this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A purge or a version that was published.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Published {
    /// Its number.
    pub number: u64,
    /// When it was due, from the start of the schedule.
    pub due: Duration,
    /// The same on the machine's clock.
    pub due_at: u64,
    /// When it was first called for, on the same clock.
    pub called_at: u64,
    /// When the call was answered, on the same clock.
    pub answered_at: u64,
}

/// What all publishers have published, and how often a call was retried.
#[derive(Default)]
pub struct PublishLog {
    /// Purges.
    pub purges: Mutex<Vec<Published>>,
    /// Versions.
    pub changes: Mutex<Vec<Published>>,
    /// Calls that failed and were retried.
    pub retries: AtomicUsize,
    /// The last reason of a retry.
    pub last_failure: Mutex<String>,
    /// Set to end the publishers.
    pub stop: AtomicBool,
}

/// The call that publishes the `n`th of what is due.
pub type RequestFactory = Box<dyn Fn(usize) -> OperatorRequest + Send>;

impl PublishLog {
    /// The purges, or the versions, so far.
    pub fn snapshot(list: &Mutex<Vec<Published>>) -> Vec<Published> {
        list.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Calls until the call is answered, or the publishers are to end.
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

/// Starts a publisher on a thread of its own: it calls at `operators` for each of what is due, from `start` on.
///
/// # Errors
/// If the system lacks threads or descriptors.
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

/// The `n`th purge of a publisher, as a call.
pub fn purge(publisher: usize, n: usize) -> OperatorRequest {
    OperatorRequest::Purge {
        publisher: format!("publisher-{publisher}"),
        sequence: n as u64 + 1,
        keys: vec![format!("object-{publisher}-{n}")],
    }
}

/// A version, as a call.
pub fn version(body: Value) -> OperatorRequest {
    OperatorRequest::Publish { body, plan: Plan::default() }
}
