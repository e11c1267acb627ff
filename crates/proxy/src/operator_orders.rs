//! What operators have ordered and what must outlive the process: bans and the drain, in one small file that the old and the
//! new process share while one replaces the other.

use crate::signals;
use aniseyoke_control::checksummed_file::{Disk, Files};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{sleep, Instant};

const FILE: &str = "aniseyoke-operators.json";
const NEW_FILE: &str = "aniseyoke-operators.new";
const LOCK_FILE: &str = "aniseyoke-operators.lock";
/// The other process holds the lock for far less than this.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
const LOCK_RETRY: Duration = Duration::from_millis(5);
/// Most nodes that may be banned at once.
pub const MAX_BANS: usize = 1024;
/// The longest file, in bytes.
const MAX_FILE: u64 = 1 << 20;

/// The operators' orders in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorOrders {
    /// Clients are to go elsewhere.
    #[serde(default)]
    pub drain: bool,
    /// The ids of the cache nodes that are banned.
    #[serde(default)]
    pub bans: BTreeSet<String>,
}

/// Why orders can't be read, locked or written.
#[derive(Debug, thiserror::Error)]
pub enum OrdersError {
    /// The disk failed: the file may hold orders, and has to be read again.
    #[error("{}: {source}", path.display())]
    Disk {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file's bytes are no orders.
    #[error("{}: {source}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// Another process holds the lock for too long.
    #[error("{}: held by another", .0.display())]
    Locked(PathBuf),
    /// More nodes would be banned than may be.
    #[error("more than {MAX_BANS} cache nodes are out")]
    TooManyBans,
    /// The orders can't be written as JSON.
    #[error("orders: {0}")]
    Encode(serde_json::Error),
    /// The file would be too long.
    #[error("the orders are too long for their file")]
    TooLong,
    /// The thread that writes has ended.
    #[error("the writer ended: {0}")]
    Writer(#[from] tokio::task::JoinError),
}

/// Tells one version of the file from the next, by equality alone: a wall clock that steps makes none seem older. The inode
/// differs as well, since each version is a file of its own.
#[derive(Clone, Copy, PartialEq)]
struct FileStamp {
    inode: u64,
    modified: (i64, i64),
}

/// The operators' orders, and the file that holds them.
pub struct OrderStore {
    /// None: there is no folder to store anything in.
    dir: Option<PathBuf>,
    orders: RefCell<OperatorOrders>,
    /// Of the version of the file that was read last.
    stamp: Cell<Option<FileStamp>>,
    /// Whether the disk failed when the file was last read.
    unreadable: Cell<bool>,
}

impl OrderStore {
    /// A store without any orders yet; [`Self::refresh`] reads them.
    pub fn open(dir: Option<PathBuf>) -> Self {
        let (orders, stamp, unreadable) = (RefCell::default(), Cell::new(None), Cell::new(false));
        OrderStore { dir, orders, stamp, unreadable }
    }

    /// The orders in force, as far as this process knows.
    pub fn orders(&self) -> OperatorOrders {
        self.orders.borrow().clone()
    }

    /// Reads orders given at another process; returns whether there are new ones.
    pub fn refresh(&self) -> bool {
        let Some(dir) = &self.dir else { return false };
        let stamp = file_stamp(&dir.join(FILE));
        if stamp.is_none() || stamp == self.stamp.get() {
            return false;
        }
        let read = read(dir);
        // Orders that the disk did not give this time are read again at the next refresh.
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
                    tracing::warn!("operators' orders stay as they are: {error}");
                }
                false
            }
        }
    }

    /// Changes the orders for all processes, and has the disk take them. After an error this process has the orders it had;
    /// where the very last step failed the file has the new ones, and the next refresh takes them from there. The call is to be
    /// made again: it always writes anew, since what could not be synced once counts as not on disk.
    ///
    /// # Errors
    /// If the orders could not be read, or not be synced.
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
        // Written on another thread, since the disk may hang. Whoever calls may give up meanwhile, so the lock goes along; it
        // ends only once this process has what the file says.
        let write_locked = move || (write(&dir, &text), lock);
        let (written, _lock) =
            signals::with_signals_blocked(|| tokio::task::spawn_blocking(write_locked)).await?;
        written?;
        self.orders.replace(orders);
        Ok(())
    }
}

/// The orders on disk, for a change to them; none where there is no file, or one that is damaged.
fn read_for_update(dir: &Path) -> Result<Option<OperatorOrders>, OrdersError> {
    match read(dir) {
        Err(error @ OrdersError::Damaged { .. }) => {
            tracing::warn!("operators' orders are written anew: {error}");
            Ok(None)
        }
        // Orders that could not be read are not written over: that would end bans that nobody lifted.
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
            Err(TryLockError::WouldBlock) if Instant::now() < deadline => sleep(LOCK_RETRY).await,
            Err(TryLockError::WouldBlock) => return Err(OrdersError::Locked(path)),
            Err(TryLockError::Error(error)) => return Err(failed(error)),
        }
    }
}

fn file_stamp(path: &Path) -> Option<FileStamp> {
    let metadata = fs::metadata(path).ok()?;
    Some(FileStamp { inode: metadata.ino(), modified: (metadata.mtime(), metadata.mtime_nsec()) })
}

/// What the file says; none: there is no file.
fn read(dir: &Path) -> Result<Option<OperatorOrders>, OrdersError> {
    let path = dir.join(FILE);
    let mut text = Vec::new();
    let read = match File::open(&path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        file => file.and_then(|file| file.take(MAX_FILE).read_to_end(&mut text)),
    };
    if let Err(source) = read {
        return Err(OrdersError::Disk { path, source });
    }
    serde_json::from_slice(&text).map(Some).map_err(|source| OrdersError::Damaged { path, source })
}

fn encode(orders: &OperatorOrders) -> Result<Vec<u8>, OrdersError> {
    let text = serde_json::to_vec(orders).map_err(OrdersError::Encode)?;
    if text.len() as u64 > MAX_FILE {
        return Err(OrdersError::TooLong);
    }
    Ok(text)
}

/// Replaces the file by a complete new one at once: a reader that finds half a file would forget every ban. File and folder
/// are synced before this returns.
fn write(dir: &Path, text: &[u8]) -> Result<(), OrdersError> {
    let (new, path) = (dir.join(NEW_FILE), dir.join(FILE));
    let written = Disk.write(&new, text).and_then(|()| Disk.rename(&new, &path));
    written.map_err(|source| OrdersError::Disk { path, source })
}

#[cfg(test)]
mod tests;
