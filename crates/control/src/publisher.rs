//! A service's side: versions, who runs which, and who is sent what. No I/O, no clock.

use crate::frame::{encode, FromProxy, FromService, Malformed, HEAD, PROTOCOL};
use crate::rollout::{Answers, Plan, Rollout, State};
use crate::version::{Stamp, Version};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Nanoseconds from any fixed point.
type Nanos = u64;
/// A connection.
pub type Id = u64;

const SECOND: Nanos = 1_000_000_000;
/// Versions that are kept to lead from, and to go back to.
const HISTORY: usize = 64;
/// What all of them may take, in bytes of their text; the newest stays whatever it takes.
const HISTORY_BYTES: usize = 128 << 20;
/// Proxies that are served; more are sent away.
const SUBSCRIBERS: usize = 20_000;
/// A proxy that says nothing for so long is gone.
const SILENCE: Nanos = 20 * SECOND;
/// Proxies are told as often that the service is still there.
const ALIVE: Nanos = 5 * SECOND;
/// Reasons that are kept of a refusal, and the length of each.
const REASONS: usize = 20;
const REASON_MOST: usize = 500;
/// Names and labels of a proxy are at most this long, in bytes, and labels at most so many.
const NAME_MOST: usize = 256;
const LABELS_MOST: usize = 32;

/// A frame to be sent, encoded once for all who get the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// To whom.
    pub to: Id,
    /// Its bytes.
    pub bytes: Arc<[u8]>,
    /// The connection ends behind it.
    pub last: bool,
}

/// What a proxy runs, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub instance: String,
    /// The number drawn at its start.
    pub boot: u64,
    /// What it runs.
    pub running: Option<Stamp>,
    /// What it is to run.
    pub wanted: Option<Stamp>,
    /// How long after its publishing it said so, in nanoseconds; none where it ran it before it connected.
    #[serde(default)]
    pub took: Option<u64>,
    /// What it turned down last, and why.
    pub refused: Option<(Stamp, Vec<String>)>,
}

struct Subscriber {
    instance: String,
    boot: u64,
    labels: BTreeMap<String, String>,
    frame_most: usize,
    running: Option<(Stamp, String)>,
    took: Option<Nanos>,
    /// Sent, and not answered yet.
    sent: Option<Stamp>,
    refused: Option<(Stamp, Vec<String>)>,
    heard: Nanos,
    said: Nanos,
}

struct Held {
    version: Version,
    bytes: usize,
    /// When it was published.
    at: Nanos,
}

/// A version that can be published.
pub struct Prepared {
    /// The version.
    pub version: Version,
    bytes: Arc<[u8]>,
    plan: Plan,
}

/// A service's side.
pub struct Publisher {
    epoch: u64,
    history: VecDeque<Held>,
    subscribers: FxHashMap<Id, Subscriber>,
    /// What everybody runs who does not get the newest yet.
    settled: Option<Stamp>,
    rollout: Option<Rollout>,
    /// Frames that are sent to many: the base, none for the whole, and the version.
    encoded: FxHashMap<(Option<Stamp>, Stamp), Arc<[u8]>>,
    /// Requests served, refused and failed, as reported.
    answered: [u64; 3],
}

impl Publisher {
    /// A service that begins anew. Danger: one that comes back from a backup under its old epoch gives numbers out
    /// twice; whoever starts it raises the epoch.
    pub fn new(epoch: u64) -> Self {
        Publisher {
            epoch,
            history: VecDeque::new(),
            subscribers: FxHashMap::default(),
            settled: None,
            rollout: None,
            encoded: FxHashMap::default(),
            answered: [0; 3],
        }
    }

    /// The newest version.
    pub fn newest(&self) -> Option<&Version> {
        self.history.back().map(|held| &held.version)
    }

    /// How far the newest has come.
    pub fn rollout(&self) -> Option<&State> {
        self.rollout.as_ref().map(Rollout::state)
    }

    /// All proxies that are connected, in the order of their names.
    pub fn rows(&self) -> Vec<Row> {
        let row = |s: &Subscriber| Row {
            instance: s.instance.clone(),
            boot: s.boot,
            running: s.running.as_ref().map(|r| r.0),
            took: s.took,
            wanted: self.wanted(s),
            refused: s.refused.clone(),
        };
        let mut rows: Vec<Row> = self.subscribers.values().map(row).collect();
        rows.sort_by(|a, b| a.instance.cmp(&b.instance).then(a.boot.cmp(&b.boot)));
        rows
    }

    fn version(&self, stamp: Stamp) -> Option<&Version> {
        self.history.iter().map(|held| &held.version).find(|v| v.stamp == stamp)
    }

    /// Publishes a body as the newest version and begins to bring it out. One that is still being brought out goes no
    /// further.
    ///
    /// # Errors
    /// If the plan can't be followed, or the body is too long to be sent.
    pub fn publish(
        &mut self,
        now: Nanos,
        body: Value,
        plan: Plan,
        out: &mut Vec<Outgoing>,
    ) -> Result<Stamp, String> {
        let prepared = self.prepare(&body, plan)?;
        Ok(self.publish_prepared(now, prepared, out))
    }

    /// Checks a body and gives it the stamp that it is published under, if nothing else is published before.
    ///
    /// # Errors
    /// As [`Self::publish`].
    pub fn prepare(&self, body: &Value, plan: Plan) -> Result<Prepared, String> {
        plan.check().map_err(|e| e.to_string())?;
        let number = self.newest().map_or(0, |v| v.stamp.number) + 1;
        let version = Version::new(Stamp { epoch: self.epoch, number }, body);
        let bytes = whole(&version).map_err(|e| e.to_string())?;
        Ok(Prepared { version, bytes, plan })
    }

    /// Publishes what was prepared last.
    pub fn publish_prepared(&mut self, now: Nanos, prepared: Prepared, out: &mut Vec<Outgoing>) -> Stamp {
        let stamp = prepared.version.stamp;
        self.bring_out(now, prepared, out);
        stamp
    }

    /// What a version said that is still known.
    ///
    /// # Errors
    /// If it is not known any more.
    pub fn body_of(&self, stamp: Stamp) -> Result<Value, String> {
        let body = self.version(stamp).map(|v| v.body.value());
        body.ok_or_else(|| format!("version {stamp} is not known any more"))
    }

    fn bring_out(&mut self, now: Nanos, prepared: Prepared, out: &mut Vec<Outgoing>) {
        let Prepared { version, bytes, plan } = prepared;
        let stamp = version.stamp;
        if let Some(before) = self.rollout.take() {
            if before.state() == &State::Everybody {
                self.settled = Some(before.stamp());
            }
        }
        self.history.push_back(Held { version, bytes: bytes.len(), at: now });
        let total = |history: &VecDeque<Held>| history.iter().map(|h| h.bytes).sum::<usize>();
        while self.history.len() > HISTORY || self.history.len() > 2 && total(&self.history) > HISTORY_BYTES {
            // What those run who do not get the newest yet stays, or a halted rollout could not be left.
            let at = usize::from(self.history.front().map(|h| h.version.stamp) == self.settled);
            self.history.remove(at);
        }
        self.encoded.clear();
        self.encoded.insert((None, stamp), bytes);
        self.rollout = Some(Rollout::new(now, stamp, plan));
        self.bring(now, out);
    }

    /// Passes a version that another service published on to everybody, under its own stamp.
    ///
    /// # Errors
    /// If it is older than the newest, is another under the same stamp, or is too long to be sent.
    pub fn adopt(&mut self, now: Nanos, version: Version, out: &mut Vec<Outgoing>) -> Result<(), String> {
        let stamp = version.stamp;
        match self.newest() {
            Some(newest) if newest.stamp == stamp && newest.digest == version.digest => return Ok(()),
            Some(newest) if newest.stamp >= stamp => {
                return Err(format!(
                    "version {stamp} does not follow {}, which came before it",
                    newest.stamp
                ));
            }
            _ => {}
        }
        let bytes = whole(&version).map_err(|e| e.to_string())?;
        self.bring_out(now, Prepared { version, bytes, plan: Plan::default() }, out);
        Ok(())
    }

    /// How many were sent a version and have not answered.
    pub fn pending(&self, stamp: Stamp) -> usize {
        self.subscribers.values().filter(|s| s.sent == Some(stamp)).count()
    }

    /// Requests served, refused and failed that proxies reported since this was last asked.
    pub fn answered(&mut self) -> [u64; 3] {
        std::mem::take(&mut self.answered)
    }

    /// Publishes what an earlier version said as a version of its own.
    ///
    /// # Errors
    /// If that version is not known any more, and as [`Self::publish`].
    pub fn roll_back(
        &mut self,
        now: Nanos,
        to: Stamp,
        plan: Plan,
        out: &mut Vec<Outgoing>,
    ) -> Result<Stamp, String> {
        let body = self.body_of(to)?;
        self.publish(now, body, plan, out)
    }

    /// Lets nobody else have the newest.
    pub fn halt(&mut self, why: &str) {
        self.rollout.iter_mut().for_each(|r| r.halt(why));
    }

    /// What a proxy is to run; none: what it has.
    fn wanted(&self, s: &Subscriber) -> Option<Stamp> {
        let rollout = self.rollout.as_ref()?;
        if rollout.includes(&s.instance, &s.labels) {
            return Some(rollout.stamp());
        }
        // Who has the newest keeps it while its rollout is halted; going back is a version like any other.
        let has_newest = s.running.as_ref().is_some_and(|r| r.0 == rollout.stamp());
        if has_newest {
            Some(rollout.stamp())
        } else {
            self.settled
        }
    }

    /// A proxy has connected and said who it is, or anything else. What is to be sent is appended to `out`.
    pub fn frame(&mut self, now: Nanos, id: Id, frame: FromProxy, out: &mut Vec<Outgoing>) {
        if let FromProxy::Hello { protocol, instance, boot, labels, frame_most, running, purges: _ } = frame {
            let (sent, refused, heard, said) = (None, None, now, now);
            let took = None;
            let s =
                Subscriber { instance, boot, labels, frame_most, running, took, sent, refused, heard, said };
            return self.hello(now, id, protocol, s, out);
        }
        let Some(s) = self.subscribers.get_mut(&id) else {
            return goodbye(id, "the first frame is to be hello", out);
        };
        s.heard = now;
        match frame {
            FromProxy::Hello { .. } | FromProxy::Purged { .. } | FromProxy::Alive => {}
            FromProxy::Taken { stamp } => {
                s.sent = s.sent.filter(|sent| *sent != stamp);
                let held = self.history.iter().find(|h| h.version.stamp == stamp);
                s.running = held.map(|h| (stamp, h.version.digest.clone()));
                s.took = held.map(|h| now.saturating_sub(h.at));
                s.refused = s.refused.take().filter(|(refused, _)| *refused > stamp);
                self.send(now, id, false, out);
            }
            FromProxy::Refused { stamp, mut reasons } => {
                s.sent = s.sent.filter(|sent| *sent != stamp);
                reasons.truncate(REASONS);
                for reason in &mut reasons {
                    let end = (0..=REASON_MOST.min(reason.len())).rev().find(|n| reason.is_char_boundary(*n));
                    reason.truncate(end.unwrap_or(0));
                }
                if let Some(rollout) = self.rollout.as_mut().filter(|r| r.stamp() == stamp) {
                    rollout.refused(&s.instance, &reasons.join("; "));
                }
                s.refused = Some((stamp, reasons));
                // A newer one may have come meanwhile.
                self.send(now, id, false, out);
            }
            FromProxy::Whole => {
                s.sent = None;
                self.send(now, id, true, out);
            }
            FromProxy::Report { stamp, served, refused, failed } => {
                for (sum, more) in self.answered.iter_mut().zip([served, refused, failed]) {
                    *sum = sum.saturating_add(more);
                }
                let bad = refused.saturating_add(failed);
                let answers = Answers { all: served.saturating_add(bad), bad };
                if let Some(rollout) = self.rollout.as_mut() {
                    rollout.report(stamp == rollout.stamp(), answers);
                }
            }
        }
    }

    fn hello(&mut self, now: Nanos, id: Id, protocol: u32, s: Subscriber, out: &mut Vec<Outgoing>) {
        let long = |text: &str| text.len() > NAME_MOST;
        let why = if protocol != PROTOCOL {
            Some(format!("this service speaks version {PROTOCOL} of the protocol, not {protocol}"))
        } else if s.instance.is_empty() || long(&s.instance) {
            Some("the name of the instance is empty or too long".to_owned())
        } else if s.labels.len() > LABELS_MOST || s.labels.iter().any(|(k, v)| long(k) || long(v)) {
            Some("too many labels, or too long ones".to_owned())
        } else if self.subscribers.len() >= SUBSCRIBERS && !self.subscribers.contains_key(&id) {
            Some(format!("{SUBSCRIBERS} proxies are served, and no more"))
        } else {
            None
        };
        if let Some(why) = why {
            self.subscribers.remove(&id);
            return goodbye(id, &why, out);
        }
        self.subscribers.insert(id, s);
        self.send(now, id, false, out);
        if let Some(s) = self.subscribers.get(&id).filter(|s| s.sent.is_none()) {
            if let Some((stamp, _)) = s.running {
                out.extend(plain(id, &FromService::Current { stamp }));
            }
        }
    }

    /// Sends a proxy what it is to run, if it neither runs it nor has it on the way, nor has turned it down.
    fn send(&mut self, now: Nanos, id: Id, want_whole: bool, out: &mut Vec<Outgoing>) {
        let Some(s) = self.subscribers.get(&id) else { return };
        let Some(wanted) = self.wanted(s) else { return };
        let Some(version) = self.version(wanted) else { return };
        let runs =
            s.running.as_ref().is_some_and(|(stamp, digest)| *stamp == wanted && *digest == version.digest);
        let down = s.refused.as_ref().is_some_and(|(stamp, _)| *stamp == wanted);
        if runs || down || s.sent == Some(wanted) {
            return;
        }
        // A delta only from what surely is there: the same stamp with the same digest.
        let base = s.running.as_ref().filter(|_| !want_whole && s.sent.is_none());
        let base = base.and_then(|(stamp, digest)| self.version(*stamp).filter(|v| v.digest == *digest));
        let key = (base.map(|b| b.stamp), wanted);
        let bytes = match self.encoded.get(&key) {
            Some(bytes) => bytes.clone(),
            None => {
                let Ok(bytes) = leading(base, version) else { return };
                self.encoded.insert(key, bytes.clone());
                bytes
            }
        };
        let Some(s) = self.subscribers.get_mut(&id) else { return };
        // Danger: a proxy with little memory would end the connection over it, again and again.
        if bytes.len() > s.frame_most.saturating_add(HEAD) {
            let why =
                format!("{} bytes are more than the {} that it reads", bytes.len() - HEAD, s.frame_most);
            if let Some(rollout) = self.rollout.as_mut().filter(|r| r.stamp() == wanted) {
                rollout.refused(&s.instance, &why);
            }
            s.refused = Some((wanted, vec![why]));
            return;
        }
        (s.sent, s.said) = (Some(wanted), now);
        out.push(Outgoing { to: id, bytes, last: false });
    }

    /// Sends everybody what they are to run now.
    fn bring(&mut self, now: Nanos, out: &mut Vec<Outgoing>) {
        let mut ids: Vec<Id> = self.subscribers.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().for_each(|id| self.send(now, id, false, out));
    }

    /// A connection has ended.
    pub fn gone(&mut self, id: Id) {
        self.subscribers.remove(&id);
    }

    /// Time has passed. To be called about once a second.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Outgoing>) {
        let silent = |s: &Subscriber| now.saturating_sub(s.heard) > SILENCE;
        let gone: Vec<Id> = self.subscribers.iter().filter(|(_, s)| silent(s)).map(|(id, _)| *id).collect();
        for id in gone {
            self.subscribers.remove(&id);
            goodbye(id, "it said nothing for too long", out);
        }
        for (id, s) in &mut self.subscribers {
            if now.saturating_sub(s.said) >= ALIVE {
                s.said = now;
                out.extend(plain(*id, &FromService::Alive));
            }
        }
        if let Some(mut rollout) = self.rollout.take() {
            let stamp = rollout.stamp();
            let pending = self.subscribers.values().filter(|s| s.sent == Some(stamp)).count();
            let changed = rollout.tick(now, pending);
            self.rollout = Some(rollout);
            if changed {
                self.bring(now, out);
            }
        }
    }
}

fn whole(version: &Version) -> Result<Arc<[u8]>, Malformed> {
    leading(None, version)
}

/// The frame that leads to a version: from another where that is shorter, or as a whole.
fn leading(base: Option<&Version>, version: &Version) -> Result<Arc<[u8]>, Malformed> {
    let Version { stamp, digest, body } = version.clone();
    let full = encode(&FromService::Full { stamp, digest: digest.clone(), body })?;
    let delta = base.map(|base| {
        let patch = base.delta(version);
        encode(&FromService::Delta { base: base.stamp, stamp, digest, patch })
    });
    Ok(match delta {
        Some(Ok(delta)) if delta.len() < full.len() => delta.into(),
        _ => full.into(),
    })
}

fn plain(to: Id, frame: &FromService) -> Option<Outgoing> {
    encode(frame).ok().map(|bytes| Outgoing { to, bytes: bytes.into(), last: false })
}

fn goodbye(to: Id, why: &str, out: &mut Vec<Outgoing>) {
    let frame = plain(to, &FromService::Goodbye { why: why.to_owned() });
    out.extend(frame.map(|frame| Outgoing { last: true, ..frame }));
}

#[cfg(test)]
mod tests;
