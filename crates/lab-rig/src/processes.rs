//! The real proxies of an experiment: each in a folder of its own that outlives its processes, signalled, paused,
//! and started again as the schedule says. Every child is ended by its id.

use super::plan::{Action, FolderState};
use aniseyoke_lab_day::FileError;
use aniseyoke_lab_process::{ProcessError, Program, ProxyLauncher, RunningProxy};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A proxy that was asked to end is killed this long after if it still runs.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(5);

enum ProcessState {
    Running(Box<dyn RunningProxy>),
    Paused(Box<dyn RunningProxy>),
    /// Asked to end by SIGTERM; killed if it has not ended by then.
    Ending(Box<dyn RunningProxy>, Instant),
    /// Ended by the rig; waits to be started again.
    Down,
    /// It crashed.
    Gone,
}

struct ProxySlot {
    config: Value,
    state: ProcessState,
    starts: u32,
}

/// The proxies of an experiment.
pub struct ProxyProcesses {
    program: Program,
    folder: PathBuf,
    slots: Vec<ProxySlot>,
}

/// Changes a byte in the middle of each file in a folder.
fn corrupt_files(folder: &Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            corrupt_files(&path)?;
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

fn signal(running: &dyn RunningProxy, signal: Signal) {
    if let Some(pid) = running.pid() {
        // One that has just ended is noticed by the next poll.
        let _ = kill(Pid::from_raw(pid as i32), signal);
    }
}

impl ProxyProcesses {
    /// Starts one proxy for each configuration, in `folder/proxy-N`.
    ///
    /// # Errors
    /// Which proxy did not start, and its last lines.
    pub fn start(
        program: Program,
        configs: Vec<Value>,
        folder: &Path,
    ) -> Result<ProxyProcesses, ProcessError> {
        let mut processes = ProxyProcesses { program, folder: folder.to_owned(), slots: Vec::new() };
        for config in configs {
            processes.slots.push(ProxySlot { config, state: ProcessState::Down, starts: 0 });
            let index = processes.slots.len() - 1;
            processes.start_one(index, FolderState::Kept)?;
        }
        Ok(processes)
    }

    fn dir(&self, index: usize) -> PathBuf {
        self.folder.join(format!("proxy-{index}"))
    }

    fn start_one(&mut self, index: usize, state: FolderState) -> Result<SocketAddr, ProcessError> {
        let dir = self.dir(index);
        if state == FolderState::Cleared && dir.exists() {
            std::fs::remove_dir_all(&dir).map_err(FileError::at(&dir))?;
        }
        if state == FolderState::Spoilt {
            corrupt_files(&dir).map_err(FileError::at(&dir))?;
        }
        let slot = &mut self.slots[index];
        let running = self.program.start(index, &slot.config, &dir)?;
        let addr = running.addr();
        slot.starts += 1;
        slot.state = ProcessState::Running(running);
        Ok(addr)
    }

    /// The number of proxies.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Where a proxy accepts clients, if it runs.
    pub fn addr(&self, index: usize) -> Option<SocketAddr> {
        match &self.slots.get(index)?.state {
            ProcessState::Running(running)
            | ProcessState::Paused(running)
            | ProcessState::Ending(running, _) => Some(running.addr()),
            ProcessState::Down | ProcessState::Gone => None,
        }
    }

    /// A proxy's process id, if it runs.
    pub fn pid(&self, index: usize) -> Option<u32> {
        match &self.slots.get(index)?.state {
            ProcessState::Running(running)
            | ProcessState::Paused(running)
            | ProcessState::Ending(running, _) => running.pid(),
            ProcessState::Down | ProcessState::Gone => None,
        }
    }

    /// Whether a proxy runs and is neither paused nor ending.
    pub fn is_running(&self, index: usize) -> bool {
        self.slots.get(index).is_some_and(|p| matches!(p.state, ProcessState::Running(_)))
    }

    /// Kills, ends or pauses a proxy; false if it was not running.
    pub fn signal(&mut self, index: usize, action: Action) -> bool {
        let Some(slot) = self.slots.get_mut(index) else { return false };
        let ProcessState::Running(mut running) = std::mem::replace(&mut slot.state, ProcessState::Gone)
        else {
            return false;
        };
        slot.state = match action {
            Action::Kill => {
                running.kill();
                ProcessState::Down
            }
            Action::Term => {
                running.terminate();
                ProcessState::Ending(running, Instant::now() + TERMINATION_TIMEOUT)
            }
            Action::Pause => {
                signal(running.as_ref(), Signal::SIGSTOP);
                ProcessState::Paused(running)
            }
        };
        true
    }

    /// Resumes a paused proxy.
    pub fn resume(&mut self, index: usize) {
        let Some(slot) = self.slots.get_mut(index) else { return };
        if let ProcessState::Paused(running) = std::mem::replace(&mut slot.state, ProcessState::Gone) {
            signal(running.as_ref(), Signal::SIGCONT);
            slot.state = ProcessState::Running(running);
        }
    }

    /// Starts a proxy again that the rig ended; one that is still ending is killed first. Its new address, or none if it was
    /// not down.
    ///
    /// # Errors
    /// If it does not start.
    pub fn restart(&mut self, index: usize, state: FolderState) -> Result<Option<SocketAddr>, ProcessError> {
        let Some(slot) = self.slots.get_mut(index) else { return Ok(None) };
        match std::mem::replace(&mut slot.state, ProcessState::Gone) {
            ProcessState::Ending(mut running, _) => running.kill(),
            ProcessState::Down => {}
            other => {
                slot.state = other;
                return Ok(None);
            }
        }
        self.start_one(index, state).map(Some)
    }

    /// Proxies that have crashed since the last poll, with their last lines. Those that were asked to end and outlast their
    /// time are killed.
    pub fn poll(&mut self) -> Vec<(usize, String)> {
        let mut crashed = Vec::new();
        for (index, slot) in self.slots.iter_mut().enumerate() {
            match &mut slot.state {
                ProcessState::Running(running) | ProcessState::Paused(running) => {
                    if let Some(exit_status) = running.ended() {
                        let lines = running.last_lines().join("\n    ");
                        crashed.push((
                            index,
                            format!(
                                "proxy {index} ended by itself, {exit_status}; its last lines:\n    {lines}"
                            ),
                        ));
                        slot.state = ProcessState::Gone;
                    }
                }
                ProcessState::Ending(running, by) => {
                    if Instant::now() > *by {
                        running.kill();
                    }
                    if running.ended().is_some() {
                        slot.state = ProcessState::Down;
                    }
                }
                ProcessState::Down | ProcessState::Gone => {}
            }
        }
        crashed
    }

    /// The number of processes that each proxy has had.
    pub fn starts(&self) -> Vec<u32> {
        self.slots.iter().map(|p| p.starts).collect()
    }

    /// Ends all proxies: paused ones are resumed, all are asked to end, and killed after `within`.
    pub fn end(&mut self, time_limit: Duration) {
        for index in 0..self.slots.len() {
            self.resume(index);
            if let ProcessState::Running(running) = &mut self.slots[index].state {
                running.terminate();
            }
        }
        let until = Instant::now() + time_limit;
        for slot in &mut self.slots {
            if let ProcessState::Running(running) | ProcessState::Ending(running, _) = &mut slot.state {
                while running.ended().is_none() && Instant::now() < until {
                    std::thread::sleep(Duration::from_millis(10));
                }
                running.kill();
            }
            slot.state = ProcessState::Down;
        }
    }
}

impl Drop for ProxyProcesses {
    fn drop(&mut self) {
        // Each child is killed by its own drop; paused ones are resumed so that nothing is left stopped.
        for index in 0..self.slots.len() {
            self.resume(index);
        }
    }
}
