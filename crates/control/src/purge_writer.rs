//! Stores the purges of publishers. The requests of a batch are written to disk as one record. Then they are
//! numbered, distributed and answered.

use crate::clock::Clock;
use crate::frame::OperatorResponse;
use crate::purge_log::{PurgeLog, PurgeLogError, PurgeRequest};
use crate::purge_queue::{PendingPurge, MAX_REQUESTS};
use crate::purges::PurgeDriver;
use aniseyoke_fanout::publishers::CallStatus;
use aniseyoke_fanout::{Progress, Publishers};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Interval of the check whether the log was restored from an older state, if there are no requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The writer of the root's log on disk.
pub(crate) struct PurgeWriter {
    pub log: PurgeLog,
    /// The last requests of each publisher, by which retries are recognized.
    pub publishers: Publishers,
    /// How long requests are collected before they are written as one record.
    pub batch: Duration,
    pub warn: fn(&str),
    /// Why the last attempt to start a new epoch failed. Repeated failures for the same reason are logged
    /// once.
    pub epoch_failure: Option<String>,
}

/// Why no new epoch can be started.
#[derive(Debug, thiserror::Error)]
enum EpochFailure<E: Display> {
    #[error("no new epoch can be started: {0}")]
    Number(E),
    #[error("the log of purges can't start a new epoch: {0}")]
    Log(PurgeLogError),
}

/// The requests of a batch that were not numbered before.
#[derive(Default)]
struct NewRequests {
    requests: Vec<PurgeRequest>,
    /// The channels for the responses, each with the index of its request. A request that was retried within
    /// the batch has several.
    responses: Vec<(oneshot::Sender<OperatorResponse>, usize)>,
}

impl PurgeWriter {
    /// Stores requests forever. `next_epoch` has to return a higher number than any epoch before.
    pub async fn run<E: Display>(
        mut self,
        clock: Clock,
        purges: Rc<PurgeDriver>,
        mut queue: mpsc::Receiver<PendingPurge>,
        next_epoch: impl Fn() -> Result<u64, E>,
    ) -> Infallible {
        loop {
            let first = match timeout(CHECK_INTERVAL, queue.recv()).await {
                Ok(Some(first)) => Some(first),
                Ok(None) => return std::future::pending().await,
                Err(_) => None,
            };
            if purges.with_relay(|relay| relay.is_behind_children()) {
                if let Err(failure) = self.start_epoch(clock, &purges, &next_epoch) {
                    self.reject_until_started(first, failure.to_string());
                    continue;
                }
                self.epoch_failure = None;
            }
            let Some(first) = first else { continue };
            sleep(self.batch).await;
            let mut batch = vec![first];
            while let Some(next) = (batch.len() < MAX_REQUESTS).then(|| queue.try_recv().ok()).flatten() {
                batch.push(next);
            }
            self = self.write(clock, &purges, batch).await;
        }
    }

    /// Starts a new epoch. It is called when a child has entries that are not in this log, which means that the
    /// log was restored from an older state.
    fn start_epoch<E: Display>(
        &mut self,
        clock: Clock,
        purges: &PurgeDriver,
        next_epoch: impl Fn() -> Result<u64, E>,
    ) -> Result<(), EpochFailure<E>> {
        let epoch = next_epoch().map_err(EpochFailure::Number)?;
        self.log.start_epoch(epoch).map_err(EpochFailure::Log)?;
        let message = "the log of purges is older than what is known downstream";
        (self.warn)(&format!("{message}: epoch {epoch} starts"));
        self.publishers = Publishers::default();
        purges.start_epoch(clock.now(), epoch);
        Ok(())
    }

    /// Rejects a request, since a new epoch has to start and could not. If the request were numbered in the
    /// old epoch, its numbers would have been assigned before, and children would skip the purges.
    fn reject_until_started(&mut self, request: Option<PendingPurge>, reason: String) {
        if self.epoch_failure.as_ref() != Some(&reason) {
            (self.warn)(&reason);
        }
        if let Some(request) = request {
            request.reject(reason.clone());
        }
        self.epoch_failure = Some(reason);
    }

    async fn write(mut self, clock: Clock, purges: &PurgeDriver, batch: Vec<PendingPurge>) -> Self {
        let position = purges.with_relay(|relay| relay.log().position());
        let NewRequests { requests, responses } = self.deduplicate(batch, position.epoch);
        if requests.is_empty() {
            return self;
        }
        let PurgeWriter { mut log, publishers, batch, warn, epoch_failure } = self;
        let written = tokio::task::spawn_blocking(move || {
            let result = log.append(&requests);
            (log, requests, result)
        });
        let Ok((log, requests, result)) = written.await else {
            // The publishers get no response, and retry after a restart has opened the log again.
            warn("the thread that writes the log of purges has panicked: no purges are accepted until a restart");
            return std::future::pending().await;
        };
        self = PurgeWriter { log, publishers, batch, warn, epoch_failure };
        if let Err(error) = result {
            (self.warn)(&format!("purges can't be stored: {error}"));
            for (response, _) in responses {
                let reason = format!("the purge can't be stored: {error}");
                _ = response.send(OperatorResponse::Rejected { reason });
            }
            return self;
        }
        let mut positions = Vec::new();
        for request in requests {
            let position = purges.append(clock.now(), &request.keys);
            self.publishers.record(&request.publisher, request.sequence, position.through);
            positions.push(position);
        }
        for (response, index) in responses {
            if let Some(Progress { epoch, through }) = positions.get(index).copied() {
                _ = response.send(OperatorResponse::PurgeAccepted { epoch, through });
            }
        }
        self
    }

    /// Answers requests that were numbered before, merges retries within the batch, and returns the remaining
    /// requests.
    fn deduplicate(&self, batch: Vec<PendingPurge>, epoch: u64) -> NewRequests {
        let mut new = NewRequests::default();
        // Index of each new request, by publisher and sequence.
        let mut indices: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for pending in batch {
            let (publisher, sequence) = (&pending.request.publisher, pending.request.sequence);
            let key = (publisher.clone(), sequence);
            if let Some(index) = indices.get(&key) {
                new.responses.push((pending.response, *index));
                continue;
            }
            match self.publishers.status(publisher, sequence) {
                CallStatus::New => {
                    indices.insert(key, new.requests.len());
                    new.responses.push((pending.response, new.requests.len()));
                    new.requests.push(pending.request);
                }
                CallStatus::Numbered(through) => {
                    _ = pending.response.send(OperatorResponse::PurgeAccepted { epoch, through });
                }
                CallStatus::Expired => {
                    pending.reject(format!("sequence: {sequence} is older than all that are remembered"));
                }
            }
        }
        new
    }
}
