//! The proxies of a trial: started, looked at, restarted as the day says, and ended.

use aniseyoke_lab_day::Day;
use aniseyoke_lab_process::{health, Running, Subject, Usage};
use aniseyoke_lab_site::{Front, Health};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// A proxy is well within this time of its start.
const WELL_WITHIN: Duration = Duration::from_secs(15);
/// A process that was told to end is given so long beyond the longest time of any class.
const ENDS_BEYOND: Duration = Duration::from_millis(700);
/// It starts again so long after its end.
const DOWN: Duration = Duration::from_millis(400);

enum State {
    Runs(Box<dyn Running>),
    /// It was told to end, and is killed by then.
    Ends(Box<dyn Running>, Instant),
    /// It starts again then.
    Down(Instant),
    /// It ended by itself, or could not be started again.
    Gone,
}

struct Place {
    config: Value,
    state: State,
    /// What processes of the past used, and what the present one does.
    past: Usage,
    present: Usage,
}

/// All proxies of a trial.
pub struct Proxies<'a> {
    starter: Starter<'a>,
    places: Vec<Place>,
    patience: Duration,
    crashes: Vec<String>,
}

/// Starts processes, each in a folder of its own that is empty at its start.
struct Starter<'a> {
    subject: &'a dyn Subject,
    folder: PathBuf,
    starts: usize,
}

impl Starter<'_> {
    fn start(&mut self, me: usize, config: &Value) -> Result<Box<dyn Running>, String> {
        self.starts += 1;
        self.subject.start(me, config, &self.folder.join(format!("proxy-{me}-{}", self.starts)))
    }
}

impl<'a> Proxies<'a> {
    /// Starts one for each configuration.
    pub fn start(
        day: &Day,
        subject: &'a dyn Subject,
        configs: Vec<Value>,
        folder: &Path,
    ) -> Result<Self, String> {
        let longest = day.load.classes.iter().map(|c| c.give_up).max().unwrap_or_default();
        let mut proxies = Proxies {
            starter: Starter { subject, folder: folder.to_owned(), starts: 0 },
            places: Vec::new(),
            patience: longest.max(Duration::from_secs(3)) + ENDS_BEYOND,
            crashes: Vec::new(),
        };
        for (me, config) in configs.into_iter().enumerate() {
            let running = proxies.starter.start(me, &config)?;
            let (past, present) = (Usage::default(), Usage::default());
            proxies.places.push(Place { config, state: State::Runs(running), past, present });
        }
        Ok(proxies)
    }

    /// Where each takes clients.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        let addr = |place: &Place| match &place.state {
            State::Runs(running) | State::Ends(running, _) => running.addr(),
            _ => SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        self.places.iter().map(addr).collect()
    }

    /// Waits until every one says that it is well.
    pub async fn until_well(&mut self) -> Result<(), String> {
        let until = Instant::now() + WELL_WITHIN;
        for (me, addr) in self.addrs().into_iter().enumerate() {
            while health(addr).await != Health::Well {
                let lines = match &mut self.places[me].state {
                    State::Runs(running) => match running.ended() {
                        Some(how) => {
                            return Err(format!(
                                "proxy {me} ended, {how}:\n{}",
                                running.last_lines().join("\n")
                            ))
                        }
                        None => running.last_lines(),
                    },
                    _ => Vec::new(),
                };
                if Instant::now() > until {
                    return Err(format!("proxy {me} does not get well:\n{}", lines.join("\n")));
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(())
    }

    /// Tells one to end; it will be started again.
    pub fn restart(&mut self, me: usize) {
        let Some(place) = self.places.get_mut(me) else { return };
        if let State::Runs(mut running) = std::mem::replace(&mut place.state, State::Gone) {
            running.terminate();
            place.state = State::Ends(running, Instant::now() + self.patience);
        }
    }

    /// Looks at what they use and whether they live, and carries restarts on.
    pub fn look(&mut self, front: &Front, crashed: impl Fn(usize), started: impl Fn(usize)) {
        for me in 0..self.places.len() {
            let place = &mut self.places[me];
            if let State::Runs(running) | State::Ends(running, _) = &mut place.state {
                if let Some(usage) = running.pid().and_then(Usage::look) {
                    place.present.update(usage);
                }
            }
            let state = std::mem::replace(&mut place.state, State::Gone);
            place.state = match state {
                State::Runs(mut running) => match running.ended() {
                    Some(how) => {
                        let lines = running.last_lines().join("\n    ");
                        self.crashes
                            .push(format!("proxy {me} ended by itself, {how}; its last lines:\n    {lines}"));
                        crashed(me);
                        State::Gone
                    }
                    None => State::Runs(running),
                },
                State::Ends(mut running, by) => {
                    if Instant::now() > by {
                        running.kill();
                    }
                    match running.ended() {
                        Some(_) => {
                            place.past.cpu_s += place.present.cpu_s;
                            place.past.update(Usage { cpu_s: 0.0, ..place.present });
                            place.present = Usage::default();
                            State::Down(Instant::now() + DOWN)
                        }
                        None => State::Ends(running, by),
                    }
                }
                State::Down(until) if Instant::now() >= until => {
                    let config = place.config.clone();
                    started(me);
                    match self.starter.start(me, &config) {
                        Ok(running) => {
                            front.moved(me, running.addr());
                            State::Runs(running)
                        }
                        Err(why) => {
                            self.crashes.push(why);
                            crashed(me);
                            State::Gone
                        }
                    }
                }
                other => other,
            };
        }
    }

    /// Has the front look at each one's health.
    pub async fn health(&self, front: &Front) {
        for (me, addr) in front.addrs().into_iter().enumerate() {
            let health = health(addr).await;
            front.looked(me, health);
        }
    }

    /// Ends all, and returns what each used and what became of those that ended by themselves.
    pub async fn end(mut self) -> (Vec<Usage>, Vec<String>) {
        for place in &mut self.places {
            if let State::Runs(running) | State::Ends(running, _) = &mut place.state {
                if let Some(usage) = running.pid().and_then(Usage::look) {
                    place.present.update(usage);
                }
                running.terminate();
            }
        }
        let until = Instant::now() + self.patience;
        for place in &mut self.places {
            if let State::Runs(running) | State::Ends(running, _) = &mut place.state {
                while running.ended().is_none() && Instant::now() < until {
                    sleep(Duration::from_millis(10)).await;
                }
                running.kill();
            }
        }
        let used = |place: &Place| {
            let mut usage = place.past;
            usage.update(Usage { cpu_s: 0.0, ..place.present });
            Usage { cpu_s: place.past.cpu_s + place.present.cpu_s, ..usage }
        };
        (self.places.iter().map(used).collect(), self.crashes)
    }
}
