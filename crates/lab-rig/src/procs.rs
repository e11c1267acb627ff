//! The real proxies of an experiment: each in a folder of its own that outlives its processes, signalled, paused,
//! and started again as the schedule says. Every child is ended by its id.

use super::plan::{Action, State};
use aniseyoke_lab_process::{Program, Running, Subject};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A proxy told to end is killed if it still lives so long after.
const ENDS_WITHIN: Duration = Duration::from_secs(5);

enum Life {
    Runs(Box<dyn Running>),
    Paused(Box<dyn Running>),
    /// Told to end by SIGTERM; killed if it is not gone by then.
    Ending(Box<dyn Running>, Instant),
    /// Ended by the rig; waits to be started again.
    Down,
    /// Ended by itself.
    Gone,
}

struct Place {
    config: Value,
    life: Life,
    starts: u32,
}

/// The proxies.
pub struct Procs {
    program: Program,
    folder: PathBuf,
    places: Vec<Place>,
}

/// Changes a byte in the middle of each file in a folder.
fn spoil(folder: &Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            spoil(&path)?;
        } else if path.is_file() {
            let mut bytes = std::fs::read(&path)?;
            let middle = bytes.len() / 2;
            if let Some(byte) = bytes.get_mut(middle) {
                *byte ^= 1;
                std::fs::write(&path, bytes)?;
            }
        }
    }
    Ok(())
}

fn signal(running: &dyn Running, signal: Signal) {
    if let Some(pid) = running.pid() {
        // One that has just ended is seen by the next look.
        let _ = kill(Pid::from_raw(pid as i32), signal);
    }
}

impl Procs {
    /// Starts one proxy for each configuration, in `folder/proxy-N`.
    ///
    /// # Errors
    /// Which proxy did not start, and its last lines.
    pub fn start(program: Program, configs: Vec<Value>, folder: &Path) -> Result<Procs, String> {
        let mut procs = Procs { program, folder: folder.to_owned(), places: Vec::new() };
        for config in configs {
            procs.places.push(Place { config, life: Life::Down, starts: 0 });
            let me = procs.places.len() - 1;
            procs.start_one(me, State::Kept)?;
        }
        Ok(procs)
    }

    fn dir(&self, me: usize) -> PathBuf {
        self.folder.join(format!("proxy-{me}"))
    }

    fn start_one(&mut self, me: usize, state: State) -> Result<SocketAddr, String> {
        let dir = self.dir(me);
        if state == State::Cleared && dir.exists() {
            std::fs::remove_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        if state == State::Spoilt {
            spoil(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        let place = &mut self.places[me];
        let running = self.program.start(me, &place.config, &dir)?;
        let addr = running.addr();
        place.starts += 1;
        place.life = Life::Runs(running);
        Ok(addr)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Where each takes clients now, if it runs.
    pub fn addr(&self, me: usize) -> Option<SocketAddr> {
        match &self.places.get(me)?.life {
            Life::Runs(running) | Life::Paused(running) | Life::Ending(running, _) => Some(running.addr()),
            Life::Down | Life::Gone => None,
        }
    }

    /// Its process, if it has one.
    pub fn pid(&self, me: usize) -> Option<u32> {
        match &self.places.get(me)?.life {
            Life::Runs(running) | Life::Paused(running) | Life::Ending(running, _) => running.pid(),
            Life::Down | Life::Gone => None,
        }
    }

    /// Whether it runs and is not paused or ending.
    pub fn runs(&self, me: usize) -> bool {
        self.places.get(me).is_some_and(|p| matches!(p.life, Life::Runs(_)))
    }

    /// Kills, ends or pauses one; false if it was not running.
    pub fn signal(&mut self, me: usize, action: Action) -> bool {
        let Some(place) = self.places.get_mut(me) else { return false };
        let Life::Runs(mut running) = std::mem::replace(&mut place.life, Life::Gone) else {
            return false;
        };
        place.life = match action {
            Action::Kill => {
                running.kill();
                Life::Down
            }
            Action::Term => {
                running.terminate();
                Life::Ending(running, Instant::now() + ENDS_WITHIN)
            }
            Action::Pause => {
                signal(running.as_ref(), Signal::SIGSTOP);
                Life::Paused(running)
            }
        };
        true
    }

    /// Lets a paused one go on.
    pub fn resume(&mut self, me: usize) {
        let Some(place) = self.places.get_mut(me) else { return };
        if let Life::Paused(running) = std::mem::replace(&mut place.life, Life::Gone) {
            signal(running.as_ref(), Signal::SIGCONT);
            place.life = Life::Runs(running);
        }
    }

    /// Starts one again that the rig ended; one still ending is killed first.
    ///
    /// # Errors
    /// If it does not start.
    pub fn restart(&mut self, me: usize, state: State) -> Result<Option<SocketAddr>, String> {
        let Some(place) = self.places.get_mut(me) else { return Ok(None) };
        match std::mem::replace(&mut place.life, Life::Gone) {
            Life::Ending(mut running, _) => running.kill(),
            Life::Down => {}
            other => {
                place.life = other;
                return Ok(None);
            }
        }
        self.start_one(me, state).map(Some)
    }

    /// Looks at each: those that ended by themselves are returned with their last lines; those told to end that
    /// outlast their time are killed.
    pub fn look(&mut self) -> Vec<(usize, String)> {
        let mut crashed = Vec::new();
        for (me, place) in self.places.iter_mut().enumerate() {
            match &mut place.life {
                Life::Runs(running) | Life::Paused(running) => {
                    if let Some(how) = running.ended() {
                        let lines = running.last_lines().join("\n    ");
                        crashed.push((
                            me,
                            format!("proxy {me} ended by itself, {how}; its last lines:\n    {lines}"),
                        ));
                        place.life = Life::Gone;
                    }
                }
                Life::Ending(running, by) => {
                    if Instant::now() > *by {
                        running.kill();
                    }
                    if running.ended().is_some() {
                        place.life = Life::Down;
                    }
                }
                Life::Down | Life::Gone => {}
            }
        }
        crashed
    }

    /// How many processes each has had.
    pub fn starts(&self) -> Vec<u32> {
        self.places.iter().map(|p| p.starts).collect()
    }

    /// Ends all: paused ones go on first, all are told to end, and killed by the time given.
    pub fn end(&mut self, within: Duration) {
        for me in 0..self.places.len() {
            self.resume(me);
            if let Life::Runs(running) = &mut self.places[me].life {
                running.terminate();
            }
        }
        let until = Instant::now() + within;
        for place in &mut self.places {
            if let Life::Runs(running) | Life::Ending(running, _) = &mut place.life {
                while running.ended().is_none() && Instant::now() < until {
                    std::thread::sleep(Duration::from_millis(10));
                }
                running.kill();
            }
            place.life = Life::Down;
        }
    }
}

impl Drop for Procs {
    fn drop(&mut self) {
        // Each child is killed by its own drop; paused ones are let go on so that nothing is left stopped.
        for me in 0..self.places.len() {
            self.resume(me);
        }
    }
}
