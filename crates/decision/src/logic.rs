//! Every decision of aniseyoke. The interface (types, settings, events, actions) is `src/api.rs`.
//!
//! The ordinary path is Go-With-The-Winner: a key's bucket has SIGMA hashed candidates, each with a window of
//! its last TAU outcomes; the first candidate with TAU hits in a row wins the bucket and keeps it.
//!
//! A request passes these parts, each the one owner of its state: `admission` (is it taken), `buckets`
//! (candidates, windows, pins), `health` and `speed` (who may not be asked now, who bears what),
//! `slow_start` (what a server that is warming up may be sent), `choice` (who is asked), `attempts` (is it
//! lawful, and for how long); then, by its outcomes, these again, `origin` (the limit on fetches), and
//! another attempt or the final answer. Each exception to the ordinary path names the danger that it guards
//! against. What decides nothing stands beside: `roster.rs`, `follow.rs`, `numbers.rs`.

mod admission;
mod attempts;
mod buckets;
mod choice;
mod health;
mod origin;
pub(crate) mod slow_start;
mod speed;
mod traffic;

use crate::api::*;
use crate::follow::Follow;
use crate::numbers::{mix, seconds, unit, Chance, Fading, Purse, MS, SECOND};
use crate::roster::{Roster, Server};
use crate::times::Times;
use attempts::{Open, HEDGE};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// The decision module of one proxy.
pub struct Balancer {
    settings: Arc<Settings>,
    chance: Chance,
    follow: Follow,
    roster: Roster,
    buckets: buckets::Buckets,
    health: health::Health,
    traffic: traffic::Traffic,
    origin: origin::Origin,
    admission: admission::Admission,
    speeds: speed::Speeds,
    work: slow_start::WorkByClass,
    open: FxHashMap<RequestId, Open>,
}

impl Balancer {
    /// A module with nothing learned; `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = Arc::new(settings);
        Balancer {
            chance: Chance(seed),
            follow: Follow::new(settings.clone()),
            roster: Roster::new(settings.clone()),
            buckets: buckets::Buckets::new(&settings),
            health: health::Health::default(),
            traffic: traffic::Traffic::new(settings.clone()),
            origin: origin::Origin::new(settings.clone()),
            admission: admission::Admission::new(settings.clone()),
            speeds: speed::Speeds::default(),
            work: slow_start::WorkByClass::new(settings.classes.len()),
            open: FxHashMap::default(),
            settings,
        }
    }

    /// Takes other settings over between two events; open requests go on under those they came under. False,
    /// and nothing changes, where classes or tenants are others in number.
    pub fn retune(&mut self, settings: Settings) -> bool {
        let sizes = |s: &Settings| (s.classes.len(), s.tenants.len());
        let same = sizes(&settings) == sizes(&self.settings);
        if same {
            self.settings = Arc::new(settings);
            self.buckets.retune(&self.settings);
            self.roster.retune(self.settings.clone());
            let parts = [&mut self.traffic.settings, &mut self.origin.settings, &mut self.admission.settings];
            parts.into_iter().for_each(|part| *part = self.settings.clone());
        }
        same
    }

    /// Whether operators have taken a server out.
    pub fn excluded(&self, server: ServerId) -> bool {
        self.roster.banned.contains(&server)
    }

    /// Takes one event and appends the actions it calls for.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.traffic.started.get_or_insert(now);
        match event {
            Event::List { kind, entries } => {
                if kind != ListKind::Failed {
                    let gone = self.roster.take(now, kind, entries, &mut self.chance, actions);
                    self.origin.out = (self.origin.out - gone).max(0.0);
                }
                self.follow.told(kind, &mut self.chance, actions);
            }
            Event::Arrival(request) => self.arrival(now, request, actions),
            Event::Outcome(o) => self.outcome(now, o, actions),
            Event::Timer(token) if token & HEDGE != 0 => self.hedge(now, token & (HEDGE - 1), actions),
            Event::Timer(token) => self.follow.timer(token, actions),
            Event::Expired(id) => self.close(id).into_iter().for_each(|mut open| {
                // Danger: clients that leave early show no late servers; taken for that, more was refused.
                open.judged &= now >= open.aim_at;
                self.lost(now, &open);
            }),
            Event::Taken(id) => self.open.get_mut(&id).into_iter().for_each(|open| {
                let shift = now.saturating_sub(std::mem::replace(&mut open.arrived, now));
                (open.aim_at, open.deadline) = (open.aim_at + shift, open.deadline + shift);
            }),
            Event::Excluded(server) => self.roster.ban(now, server, true, actions),
            Event::Included(server) => self.roster.ban(now, server, false, actions),
            Event::Load { server, load } => self.reported(now, server, load),
            Event::Room { server, room } => {
                self.roster.get_mut(server).into_iter().for_each(|s| s.room = Some(room));
            }
            Event::First(id) => self.open.get_mut(&id).into_iter().for_each(|open| open.streaming = true),
        }
    }
}
