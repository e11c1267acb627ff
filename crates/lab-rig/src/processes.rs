//! The real proxies of an experiment: signals, pauses and restarts them according to the schedule. Each proxy has a directory
//! of its own that persists across restarts. Processes are signalled by their process id only.

use super::plan::{Action, FolderState};
use aniseyoke_lab_day::FileError;
use aniseyoke_lab_process::{ProcessError, Program, ProxyLauncher, RunningProxy};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long after SIGTERM a proxy that is still running is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(5);

enum ProcessState {
    Running(Box<dyn RunningProxy>),
    Paused(Box<dyn RunningProxy>),
    /// Terminated by SIGTERM; killed if it is still running at the given time.
    Ending(Box<dyn RunningProxy>, Instant),
    /// Ended by the rig; may be restarted.
    Down,
    /// Crashed.
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

/// Changes one byte in the middle of each file in a directory and its subdirectories.
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
        // An error means that the process has just ended; the next poll detects that.
        let _ = kill(Pid::from_raw(pid as i32), signal);
    }
}

impl ProxyProcesses {
    /// Starts one proxy for each configuration, each in the directory `folder/proxy-N`.
    ///
    /// # Errors
    /// Returns an error that names the proxy that did not start, with its last log lines.
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

    /// Returns the number of proxies.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether there are no proxies.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the address on which a proxy accepts clients, if it is running.
    pub fn addr(&self, index: usize) -> Option<SocketAddr> {
        match &self.slots.get(index)?.state {
            ProcessState::Running(running)
            | ProcessState::Paused(running)
            | ProcessState::Ending(running, _) => Some(running.addr()),
            ProcessState::Down | ProcessState::Gone => None,
        }
    }

    /// Returns the process id of a proxy, if it is running.
    pub fn pid(&self, index: usize) -> Option<u32> {
        match &self.slots.get(index)?.state {
            ProcessState::Running(running)
            | ProcessState::Paused(running)
            | ProcessState::Ending(running, _) => running.pid(),
            ProcessState::Down | ProcessState::Gone => None,
        }
    }

    /// Returns whether a proxy is running and is neither paused nor terminating.
    pub fn is_running(&self, index: usize) -> bool {
        self.slots.get(index).is_some_and(|p| matches!(p.state, ProcessState::Running(_)))
    }

    /// Kills, terminates or pauses a proxy; returns false if it was not running.
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

    /// Restarts a proxy that the rig ended; one that is still terminating is killed first. Returns its new address, or
    /// `None` if the rig had not ended it: it is running, is paused, or has crashed.
    ///
    /// # Errors
    /// Returns an error if the proxy does not start.
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

    /// Returns the proxies that have crashed since the last poll, with their last log lines. Kills terminating proxies whose
    /// time limit has expired.
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

    /// Returns how many times each proxy was started.
    pub fn starts(&self) -> Vec<u32> {
        self.slots.iter().map(|p| p.starts).collect()
    }

    /// Ends all proxies: resumes paused ones, sends SIGTERM to all, and kills those still running after `time_limit`.
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
        // Each child is killed when its handle is dropped; paused ones are resumed so that no process stays stopped.
        for index in 0..self.slots.len() {
            self.resume(index);
        }
    }
}
