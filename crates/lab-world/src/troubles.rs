//! Troubles taken apart into single strokes, each at its time, drawn by the day's seed alone.

use aniseyoke_lab_day::clock::{mix, nanos, Nanos, MS, SECOND};
use aniseyoke_lab_day::{Day, Trouble, TroubleKind};

/// One thing that happens to the site.
#[derive(Clone, Debug, PartialEq)]
pub enum Stroke {
    /// A process dies.
    Crash(usize),
    /// It comes back, cold.
    Return(usize),
    /// A machine says nothing more.
    Silence(usize),
    /// A node is asked to finish what it has.
    Drain(usize),
    /// Its process ends and a new node starts in its place.
    Replace(usize),
    /// A member runs at this part of its speed.
    Slow(usize, f64),
    /// A node's open connections go dead.
    HalfOpen(usize),
    /// Trouble `0` with answers begins, or ends.
    Answers(usize, bool),
    /// Discovery goes down, or comes back.
    Discovery(bool),
    /// Discovery lists these as draining.
    Lie(Vec<usize>),
    /// A proxy is restarted.
    Proxy(usize),
}

/// Part of the fleet that a deploy replaces at a time.
const BATCH: f64 = 0.2;
/// A node that drains has so long until its process ends.
const DRAIN: Nanos = 3500 * MS;
/// Rolled proxies are restarted at least so far apart.
const ROLL_APART: Nanos = SECOND;

/// All strokes of a day, in order.
pub fn strokes(day: &Day) -> Vec<(Nanos, Stroke)> {
    let mut strokes = Vec::new();
    for (n, trouble) in day.troubles.iter().enumerate() {
        one(day, n, trouble, &mut strokes);
    }
    strokes.sort_by_key(|(at, _)| *at);
    strokes
}

/// Members that a trouble hits, at least one.
pub fn targets(day: &Day, n: usize, trouble: &Trouble) -> Vec<usize> {
    if let Some(nodes) = &trouble.nodes {
        return nodes.clone();
    }
    let count = day.site.cache.count;
    let hit = (trouble.part.unwrap_or(0.0) * count as f64).round().max(1.0) as usize;
    let mut all: Vec<usize> = (0..count).collect();
    all.sort_by_key(|m| mix(day.seed, 0x7a29 + n as u64, *m as u64));
    all.truncate(hit);
    all
}

fn one(day: &Day, n: usize, trouble: &Trouble, strokes: &mut Vec<(Nanos, Stroke)>) {
    let (at, length) = (nanos(trouble.at), nanos(trouble.length));
    let end = at + length;
    let hit = targets(day, n, trouble);
    let size = trouble.size.unwrap_or(1.0);
    let ledger = day.site.cache.count;
    let mut add = |at, stroke| strokes.push((at, stroke));
    match trouble.kind {
        TroubleKind::Crash => hit.iter().for_each(|m| {
            add(at, Stroke::Crash(*m));
            add(end, Stroke::Return(*m));
        }),
        TroubleKind::Silence => hit.iter().for_each(|m| {
            add(at, Stroke::Silence(*m));
            add(end, Stroke::Return(*m));
        }),
        TroubleKind::Deploy => {
            let batch = ((day.site.cache.count as f64 * BATCH).ceil() as usize).max(1);
            let steps = hit.len().div_ceil(batch) as u64;
            for (step, members) in hit.chunks(batch).enumerate() {
                let from = at + step as u64 * length / steps;
                members.iter().for_each(|m| {
                    add(from, Stroke::Drain(*m));
                    add(from + DRAIN, Stroke::Replace(*m));
                });
            }
        }
        TroubleKind::ProxyRoll => {
            let count = day.site.proxy.count as u64;
            let apart = (length / count).max(ROLL_APART);
            (0..count).for_each(|p| add(at + p * apart, Stroke::Proxy(p as usize)));
        }
        TroubleKind::Slow => hit.iter().for_each(|m| {
            add(at, Stroke::Slow(*m, size));
            add(end, Stroke::Slow(*m, 1.0));
        }),
        TroubleKind::BrownOut => {
            add(at, Stroke::Slow(ledger, size));
            add(end, Stroke::Slow(ledger, 1.0));
        }
        TroubleKind::HalfOpen => hit.iter().for_each(|m| add(at, Stroke::HalfOpen(*m))),
        TroubleKind::Cut | TroubleKind::Spoilt | TroubleKind::Oversize | TroubleKind::Pieces => {
            add(at, Stroke::Answers(n, true));
            add(end, Stroke::Answers(n, false));
        }
        TroubleKind::DiscoveryDown => {
            add(at, Stroke::Discovery(false));
            add(end, Stroke::Discovery(true));
        }
        TroubleKind::DiscoveryLies => {
            add(at, Stroke::Lie(hit));
            add(end, Stroke::Lie(Vec::new()));
        }
    }
}
