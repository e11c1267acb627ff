//! Purges and changes, made as operators make them: each at its time, whatever became of the ones before.

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

/// A call is given up after so long, and made again.
const ANSWERS_WITHIN: Duration = Duration::from_secs(10);
const AGAIN: Duration = Duration::from_millis(20);

/// What was made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Made {
    /// Its number.
    pub number: u64,
    /// When it was due, from the start of the schedule.
    pub due: Duration,
    /// The same on the machine's clock.
    pub due_at: u64,
    /// When it was first called for.
    pub called_at: u64,
    /// When the answer was there.
    pub answered_at: u64,
}

/// What all publishers have made, and how often a call had to be made again.
#[derive(Default)]
pub struct Log {
    /// Purges.
    pub purges: Mutex<Vec<Made>>,
    /// Versions.
    pub changes: Mutex<Vec<Made>>,
    /// Calls that failed and were made again.
    pub again: AtomicUsize,
    /// The last reason.
    pub why: Mutex<String>,
    /// Set to end.
    pub stop: AtomicBool,
}

/// What is to be made: by which call, for the `n`th of what is due.
pub type Call = Box<dyn Fn(usize) -> OperatorRequest + Send>;

impl Log {
    /// What is known of purges or of versions, so far.
    pub fn made(list: &Mutex<Vec<Made>>) -> Vec<Made> {
        list.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn failed(&self, why: String) {
        self.again.fetch_add(1, Ordering::Relaxed);
        *self.why.lock().unwrap_or_else(PoisonError::into_inner) = why;
    }
}

/// A publisher on a thread of its own: calls at `door` for each of what is due, from `start` on.
///
/// # Errors
/// If the system lacks threads or descriptors.
pub fn start(
    log: Arc<Log>,
    door: SocketAddr,
    start: u64,
    due: Vec<Duration>,
    what: Call,
) -> std::io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("publisher".into()).spawn(move || {
        runtime.block_on(async {
            for (n, due) in due.into_iter().enumerate() {
                let due_at = start + due.as_nanos() as u64;
                sleep(Duration::from_nanos(due_at.saturating_sub(now()))).await;
                let called_at = now();
                while !log.stop.load(Ordering::Relaxed) {
                    match timeout(ANSWERS_WITHIN, call(door, &what(n))).await {
                        Ok(Ok(OperatorResponse::PurgeAccepted { through, .. })) => {
                            let made = Made { number: through, due, due_at, called_at, answered_at: now() };
                            log.purges.lock().unwrap_or_else(PoisonError::into_inner).push(made);
                            break;
                        }
                        Ok(Ok(OperatorResponse::Published { stamp })) => {
                            let number = stamp.number;
                            let made = Made { number, due, due_at, called_at, answered_at: now() };
                            log.changes.lock().unwrap_or_else(PoisonError::into_inner).push(made);
                            break;
                        }
                        Ok(Ok(other)) => log.failed(format!("{other:?}")),
                        Ok(Err(error)) => log.failed(error.to_string()),
                        Err(_) => log.failed(format!("{door}: no answer in time")),
                    }
                    sleep(AGAIN).await;
                }
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
