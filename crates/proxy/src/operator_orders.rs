//! Operators' orders that must outlive the process: bans and the drain. They are stored in one small file,
//! which the old and the new process share during a handover.

use crate::file_stamp::FileStamp;
use crate::signals;
use aniseyoke_control::checksummed_file::{Disk, Files};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{sleep, Instant};

const FILE: &str = "aniseyoke-operators.json";
const TEMP_FILE: &str = "aniseyoke-operators.new";
const LOCK_FILE: &str = "aniseyoke-operators.lock";
/// Timeout for the lock; another process normally holds it for far less than this.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Most cache nodes that can be banned at once.
pub const MAX_BANS: usize = 1024;
/// Most ends of bans that are remembered; the oldest are forgotten first.
const MAX_LIFTED: usize = 128;
/// Maximum length of the file.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The operators' orders in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorOrders {
    /// Whether the proxy drains: clients are to move to other proxies.
    #[serde(default)]
    pub drain: bool,
    /// Ids of the banned cache nodes.
    #[serde(default)]
    pub bans: BTreeSet<String>,
    /// When the bans of other cache nodes ended, as Unix times in milliseconds. A node may have restarted during its
    /// ban, and then it is cold.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lifted: BTreeMap<String, u64>,
}

impl OperatorOrders {
    /// Bans a node.
    pub fn ban(&mut self, id: String) {
        self.lifted.remove(&id);
        self.bans.insert(id);
    }

    /// Ends the ban of a node, if it has one; `now` is the Unix time in milliseconds.
    pub fn lift_ban(&mut self, id: &str, now: u64) {
        if !self.bans.remove(id) {
            return;
        }
        self.lifted.insert(id.to_owned(), now);
        while self.lifted.len() > MAX_LIFTED {
            let oldest = self.lifted.iter().min_by_key(|(_, at)| **at).map(|(id, _)| id.clone());
            let Some(oldest) = oldest else { break };
            self.lifted.remove(&oldest);
        }
    }

    /// Returns the nodes whose bans ended without `previous` having them, less than `window` before `now`. A time in
    /// the future counts as one that has just been.
    pub fn newly_lifted<'a>(
        &'a self,
        previous: &'a OperatorOrders,
        now: u64,
        window: Duration,
    ) -> impl Iterator<Item = &'a String> {
        let is_recent = move |at: u64| Duration::from_millis(now.saturating_sub(at)) < window;
        let lifted = self.lifted.iter().filter(move |(id, at)| {
            is_recent(**at) && previous.lifted.get(*id) != Some(at) && !previous.bans.contains(*id)
        });
        lifted.map(|(id, _)| id)
    }
}

/// Errors reading, locking or writing the orders.
#[derive(Debug, thiserror::Error)]
pub enum OrdersError {
    /// The disk failed. The file may hold valid orders, and has to be read again.
    #[error("{}: {source}", path.display())]
    Disk {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file's content is invalid.
    #[error("{}: {source}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: serde_json::Error,
    },
    /// Another process held the lock until the timeout.
    #[error("{}: locked by another process", .0.display())]
    Locked(PathBuf),
    /// The order would exceed the limit of banned nodes.
    #[error("more than {MAX_BANS} cache nodes would be banned")]
    TooManyBans,
    /// The orders can't be encoded as JSON.
    #[error("encoding the orders: {0}")]
    Encode(serde_json::Error),
    /// The file would exceed its maximum length.
    #[error("the orders are too long for their file")]
    TooLong,
    /// The task that writes the file panicked or was cancelled.
    #[error("the task that writes the orders failed: {0}")]
    Writer(#[from] tokio::task::JoinError),
}

/// The operators' orders, and the file that holds them.
pub struct OrderStore {
    /// Folder of the file; `None` if orders are not stored.
    dir: Option<PathBuf>,
    orders: RefCell<OperatorOrders>,
    /// Stamp of the file when it was last read.
    stamp: Cell<Option<FileStamp>>,
    /// Whether the last read failed with a disk error.
    unreadable: Cell<bool>,
}

impl OrderStore {
    /// Creates a store without orders; [`Self::refresh`] reads them.
    pub fn open(dir: Option<PathBuf>) -> Self {
        let (orders, stamp, unreadable) = (RefCell::default(), Cell::new(None), Cell::new(false));
        OrderStore { dir, orders, stamp, unreadable }
    }

    /// Returns the orders in force, as known to this process.
    pub fn orders(&self) -> OperatorOrders {
        self.orders.borrow().clone()
    }

    /// Reads the orders of other processes from the file. Returns whether they changed.
    pub fn refresh(&self) -> bool {
        let Some(dir) = &self.dir else { return false };
        let stamp = FileStamp::of(&dir.join(FILE));
        if stamp.is_none() || stamp == self.stamp.get() {
            return false;
        }
        let read = read(dir);
        // After a disk error the file is read again at the next refresh.
        let unreadable = matches!(read, Err(OrdersError::Disk { .. }));
        let was_unreadable = self.unreadable.replace(unreadable);
        if !unreadable {
            self.stamp.set(stamp);
        }
        match read {
            Ok(Some(orders)) => self.orders.replace(orders.clone()) != orders,
            Ok(None) => false,
            Err(error) => {
                if !(unreadable && was_unreadable) {
                    tracing::warn!("operators' orders are unchanged, their file can't be read: {error}");
                }
                false
            }
        }
    }

    /// Changes the orders for all processes, and syncs them to disk. After an error this process keeps its
    /// previous orders; if only the last step failed, the file has the new ones, and the next refresh reads
    /// them. The caller has to repeat the update, which writes the file again even if its content is the
    /// same, since data whose sync failed may not be on disk.
    ///
    /// # Errors
    /// If the orders could not be read, locked, written or synced.
    pub async fn update(&self, change: impl FnOnce(&mut OperatorOrders)) -> Result<(), OrdersError> {
        let Some(dir) = &self.dir else {
            change(&mut self.orders.borrow_mut());
            return Ok(());
        };
        let lock = lock(dir).await?;
        let mut orders = read_for_update(dir)?.unwrap_or_else(|| self.orders());
        change(&mut orders);
        if orders.bans.len() > MAX_BANS {
            return Err(OrdersError::TooManyBans);
        }
        let (dir, text) = (dir.clone(), encode(&orders)?);
        // Written on another thread, since the disk may hang. The caller may be cancelled meanwhile, so the
        // task owns the lock. It is released only after this process has updated its own orders.
        let write_locked = move || (write(&dir, &text), lock);
        let (written, _lock) =
            signals::with_signals_blocked(|| tokio::task::spawn_blocking(write_locked)).await?;
        written?;
        self.orders.replace(orders);
        Ok(())
    }
}

/// Reads the orders on disk to change them. Returns `None` if there is no file or it is damaged.
fn read_for_update(dir: &Path) -> Result<Option<OperatorOrders>, OrdersError> {
    match read(dir) {
        Err(error @ OrdersError::Damaged { .. }) => {
            tracing::warn!("operators' orders are replaced, since their file is damaged: {error}");
            Ok(None)
        }
        // Orders that could not be read are not overwritten, which would lift bans without an order.
        read => read,
    }
}

async fn lock(dir: &Path) -> Result<File, OrdersError> {
    let path = dir.join(LOCK_FILE);
    let failed = |source| OrdersError::Disk { path: path.clone(), source };
    let file = OpenOptions::new().create(true).append(true).open(&path).map_err(failed)?;
    let deadline = Instant::now() + LOCK_TIMEOUT;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if Instant::now() < deadline => sleep(LOCK_RETRY_DELAY).await,
            Err(TryLockError::WouldBlock) => return Err(OrdersError::Locked(path)),
            Err(TryLockError::Error(error)) => return Err(failed(error)),
        }
    }
}

/// Reads the orders from the file. Returns `None` if there is no file.
fn read(dir: &Path) -> Result<Option<OperatorOrders>, OrdersError> {
    let path = dir.join(FILE);
    let mut text = Vec::new();
    let read = match File::open(&path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        file => file.and_then(|file| file.take(MAX_FILE_BYTES).read_to_end(&mut text)),
    };
    if let Err(source) = read {
        return Err(OrdersError::Disk { path, source });
    }
    serde_json::from_slice(&text).map(Some).map_err(|source| OrdersError::Damaged { path, source })
}

fn encode(orders: &OperatorOrders) -> Result<Vec<u8>, OrdersError> {
    let text = serde_json::to_vec(orders).map_err(OrdersError::Encode)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(OrdersError::TooLong);
    }
    Ok(text)
}

/// Replaces the file atomically, since a reader of a partial file would lose all bans. Syncs the file and the
/// folder before it returns.
fn write(dir: &Path, text: &[u8]) -> Result<(), OrdersError> {
    let (temp, path) = (dir.join(TEMP_FILE), dir.join(FILE));
    let written = Disk.write(&temp, text).and_then(|()| Disk.rename(&temp, &path));
    written.map_err(|source| OrdersError::Disk { path, source })
}

#[cfg(test)]
mod tests;
