//! The endpoint list in the folder that the processes of a proxy share. What discovery has told one of them the others
//! have to act on too, also if they can't reach it themselves. Each process writes the list that it has in a file of
//! its own, and reads those of the others.

use super::list_file;
use crate::background_writer::BackgroundWriter;
use crate::config::EndpointList;
use crate::file_stamp::FileStamp;
use crate::peers::{self, SharedSlot, MAX_PROCESSES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// First line of a file: its type and the version of its format.
const MAGIC: &str = "aniseyoke-endpoints 1";

/// Content of a file.
#[derive(Serialize, Deserialize)]
struct StoredList {
    /// The discovery service; versions of different ones can't be compared.
    service: SocketAddr,
    list: EndpointList,
}

/// The lists of the processes of this proxy.
pub struct SharedList {
    slot: SharedSlot,
    writer: Option<BackgroundWriter<StoredList>>,
    /// The versions of the others' files that have been read.
    read: [Option<FileStamp>; MAX_PROCESSES],
}

impl SharedList {
    /// Opens the lists; `slot` is the place of this process.
    pub fn open(slot: SharedSlot) -> Self {
        let writer = list_file::start_writer(file_path(&slot, slot.number), MAGIC);
        let writer = writer.map_err(|error| {
            tracing::warn!("the endpoint list is not shared with other processes: {error}");
        });
        SharedList { slot, writer: writer.ok(), read: [None; MAX_PROCESSES] }
    }

    /// Returns the list that this process begins with: that of another process that is running, or of an earlier one
    /// if it is newer than `known`, the platform's. `None` if that is `known`.
    pub fn initial(&mut self, service: SocketAddr, known: Option<&EndpointList>) -> Option<EndpointList> {
        let (mut of_running, mut of_ended) = (Vec::new(), Vec::new());
        for number in 0..MAX_PROCESSES {
            // The process that had the place of this one has ended.
            let is_running = number != self.slot.number && peers::is_running(&self.slot.dir, number);
            let lists = if is_running { &mut of_running } else { &mut of_ended };
            lists.extend(self.read(number, service));
        }
        let newest = |lists: Vec<EndpointList>| lists.into_iter().max_by_key(|list| list.version);
        let is_newer = |list: &EndpointList| known.is_none_or(|known| list.version > known.version);
        newest(of_running).or_else(|| newest(of_ended).filter(is_newer))
    }

    /// Returns the newest list that another process has written since the last look.
    pub fn changed(&mut self, service: SocketAddr) -> Option<EndpointList> {
        let own = self.slot.number;
        let others = (0..MAX_PROCESSES).filter(|number| *number != own);
        others.filter_map(|number| self.read(number, service)).max_by_key(|list| list.version)
    }

    /// Writes the list of this process.
    pub fn write(&self, service: SocketAddr, list: EndpointList) {
        if let Some(writer) = &self.writer {
            writer.write(StoredList { service, list });
        }
    }

    /// Reads the list of a process, if it has changed since the last look.
    fn read(&mut self, number: usize, service: SocketAddr) -> Option<EndpointList> {
        let path = file_path(&self.slot, number);
        let stamp = FileStamp::of(&path)?;
        if self.read[number].replace(stamp) == Some(stamp) {
            return None;
        }
        let stored: StoredList = list_file::load(&path, MAGIC)?;
        (stored.service == service && stored.list.full).then_some(stored.list)
    }
}

fn file_path(slot: &SharedSlot, number: usize) -> PathBuf {
    slot.dir.join(format!("aniseyoke-endpoints.{number}"))
}

#[cfg(test)]
mod tests;
