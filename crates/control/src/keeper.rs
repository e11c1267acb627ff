//! The root's publishers: calls that come within a batch are kept on disk as one, then numbered, sent and answered.

use crate::frame::ToOperator;
use crate::purge_log::{Call, PurgeLog};
use crate::purges::Purges;
use crate::service::Service;
use aniseyoke_fanout::publishers::{Seen, NAME_MOST};
use aniseyoke_fanout::{Progress, Publishers};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Keys of one call, at most.
const KEYS: usize = 10_000;
/// Calls that wait, and calls that are kept as one, at most.
const CALLS: usize = 64;
/// It is looked at as often whether the log is an older one that came back.
const LOOK: Duration = Duration::from_millis(250);

/// A call that waits for its answer.
pub(crate) struct Waiting {
    call: Call,
    answer: oneshot::Sender<ToOperator>,
}

/// Where publishers' calls go.
#[derive(Clone)]
pub(crate) struct Taker(mpsc::Sender<Waiting>);

impl Taker {
    /// Takes a call and waits until its purges are kept and numbered.
    pub async fn take(&self, publisher: String, sequence: u64, keys: &[String]) -> ToOperator {
        let no = |why: String| ToOperator::No { why };
        if publisher.is_empty() || publisher.len() > NAME_MOST {
            return no(format!("publisher: a name of 1 to {NAME_MOST} bytes is wanted"));
        }
        if keys.is_empty() || keys.len() > KEYS {
            return no(format!("keys: 1 to {KEYS} are taken in one call, and these are {}", keys.len()));
        }
        let keys = keys.iter().map(|key| xxh3_64(key.as_bytes())).collect();
        let (answer, answered) = oneshot::channel();
        let waiting = Waiting { call: Call { publisher, sequence, keys }, answer };
        if self.0.try_send(waiting).is_err() {
            return no(format!("{CALLS} calls wait already: make it again"));
        }
        answered.await.unwrap_or_else(|_| no("the service ends".into()))
    }
}

/// What takes calls, and what is to be run for them.
pub(crate) fn keeper() -> (Taker, mpsc::Receiver<Waiting>) {
    let (take, taken) = mpsc::channel(CALLS);
    (Taker(take), taken)
}

/// The root's log and who publishes into it.
pub(crate) struct Keeper {
    pub file: PurgeLog,
    pub publishers: Publishers,
    pub batch: Duration,
    pub say: fn(&str),
    /// Why the log could not begin anew when that was tried last; it is said once.
    pub stuck: Option<String>,
}

impl Keeper {
    /// Keeps what comes, for good. `epoch`: a higher one than any before.
    pub async fn run(
        mut self,
        service: Rc<Service>,
        purges: Rc<Purges>,
        mut calls: mpsc::Receiver<Waiting>,
        epoch: impl Fn() -> Result<u64, String>,
    ) -> Infallible {
        loop {
            let first = match timeout(LOOK, calls.recv()).await {
                Ok(Some(first)) => Some(first),
                Ok(None) => return std::future::pending().await,
                Err(_) => None,
            };
            if purges.look(|relay| relay.is_outrun()) {
                let begun = match epoch() {
                    Ok(epoch) => self.begin_anew(&service, &purges, epoch),
                    Err(why) => Err(format!("no new epoch can be begun: {why}")),
                };
                if let Err(why) = begun {
                    self.refuse_until_begun(first, why);
                    continue;
                }
                self.stuck = None;
            }
            let Some(first) = first else { continue };
            sleep(self.batch).await;
            let mut batch = vec![first];
            while let Some(call) = (batch.len() < CALLS).then(|| calls.try_recv().ok()).flatten() {
                batch.push(call);
            }
            self = self.keep(&service, &purges, batch).await;
        }
    }

    /// Somebody below knows more than this log: it is an older one that came back.
    fn begin_anew(&mut self, service: &Service, purges: &Purges, epoch: u64) -> Result<(), String> {
        self.file.begin_anew(epoch).map_err(|e| format!("the log of purges can't begin anew: {e}"))?;
        (self.say)(&format!("the log of purges is older than what is known below: epoch {epoch} begins"));
        self.publishers = Publishers::default();
        purges.begin_anew(service.now(), epoch);
        Ok(())
    }

    /// Danger: the numbers that the old log would give out next were given out before, and those below pass them over.
    fn refuse_until_begun(&mut self, call: Option<Waiting>, why: String) {
        if self.stuck.as_ref() != Some(&why) {
            (self.say)(&why);
        }
        if let Some(Waiting { answer, .. }) = call {
            // Who asked may have given up.
            _ = answer.send(ToOperator::No { why: why.clone() });
        }
        self.stuck = Some(why);
    }

    async fn keep(mut self, service: &Service, purges: &Purges, batch: Vec<Waiting>) -> Self {
        let mut new: Vec<Call> = Vec::new();
        // By publisher and sequence: which of the new ones it is.
        let mut places: BTreeMap<(String, u64), usize> = BTreeMap::new();
        let mut answers = Vec::new();
        let at = purges.look(|relay| relay.log().at());
        for Waiting { call, answer } in batch {
            let place = (call.publisher.clone(), call.sequence);
            match (places.get(&place), self.publishers.seen(&call.publisher, call.sequence)) {
                (Some(n), _) => answers.push((answer, *n)),
                (None, Seen::New) => {
                    places.insert(place, new.len());
                    answers.push((answer, new.len()));
                    new.push(call);
                }
                // Who asked may have given up.
                (None, Seen::Through(through)) => {
                    _ = answer.send(ToOperator::Purging { epoch: at.epoch, through })
                }
                (None, Seen::TooOld) => {
                    let why = format!("sequence: {} is older than all that are remembered", call.sequence);
                    _ = answer.send(ToOperator::No { why });
                }
            }
        }
        if new.is_empty() {
            return self;
        }
        let Keeper { mut file, publishers, batch, say, stuck } = self;
        let kept = tokio::task::spawn_blocking(move || {
            let done = file.append(&new);
            (file, new, done)
        });
        let Ok((file, new, done)) = kept.await else {
            // Its callers are told nothing, and make their calls again where the log is opened anew.
            say("the log of purges is lost with its thread: no purges are taken until a restart");
            return std::future::pending().await;
        };
        self = Keeper { file, publishers, batch, say, stuck };
        if let Err(why) = done {
            (self.say)(&format!("purges can't be kept: {why}"));
            for (answer, _) in answers {
                _ = answer.send(ToOperator::No { why: format!("it can't be kept: {why}") });
            }
            return self;
        }
        let mut numbers = Vec::new();
        for call in new {
            let at = purges.number(service.now(), &call.keys);
            self.publishers.note(&call.publisher, call.sequence, at.through);
            numbers.push(at);
        }
        for (answer, n) in answers {
            if let Some(Progress { epoch, through }) = numbers.get(n).copied() {
                _ = answer.send(ToOperator::Purging { epoch, through });
            }
        }
        self
    }
}
