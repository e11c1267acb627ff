//! What operators have ordered and what must outlive the process: bans and the drain, in one small file that
//! old and new process share while one replaces the other.

use aniseyoke_control::sealed::{Disk, Files};
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
const NEW: &str = "aniseyoke-operators.new";
const LOCK: &str = "aniseyoke-operators.lock";
/// The other process holds the lock for far less than this.
const LOCK_WITHIN: Duration = Duration::from_millis(500);
const LOCK_AGAIN: Duration = Duration::from_millis(5);
/// So many nodes may be out by hand at once.
pub const BANS_MOST: usize = 1024;
/// The file is at most this long, in bytes.
const FILE_MOST: u64 = 1 << 20;

/// The operators' orders in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(default)]
    pub drain: bool,
    /// The ids of the cache nodes that are out.
    #[serde(default)]
    pub bans: BTreeSet<String>,
}

/// Tells one writing of the file from the next.
type Stamp = (u64, i64, i64);

/// The file, and what it last said.
pub struct Store {
    /// None: there is no place to keep anything.
    dir: Option<PathBuf>,
    held: RefCell<Orders>,
    /// Of the file that was read last.
    stamp: Cell<Option<Stamp>>,
    /// Whether the file could not be read when it was last looked at.
    unreadable: Cell<bool>,
}

/// Why the file tells no orders.
enum ReadError {
    /// The disk did not give its bytes: it may hold orders, and has to be read again.
    Disk(PathBuf, io::Error),
    /// Its bytes are no orders.
    Damaged(PathBuf, serde_json::Error),
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ReadError::Disk(path, e) => write!(f, "{}: {e}", path.display()),
            ReadError::Damaged(path, e) => write!(f, "{}: {e}", path.display()),
        }
    }
}

impl Store {
    pub fn open(dir: Option<PathBuf>) -> Self {
        Store { dir, held: RefCell::default(), stamp: Cell::new(None), unreadable: Cell::new(false) }
    }

    /// The orders in force, as far as this process knows.
    pub fn orders(&self) -> Orders {
        self.held.borrow().clone()
    }

    /// Looks for orders given at another process; true if there are new ones.
    pub fn look(&self) -> bool {
        let Some(dir) = &self.dir else { return false };
        let stamp = stamp(&dir.join(FILE));
        if stamp.is_none() || stamp == self.stamp.get() {
            return false;
        }
        let found = read(dir);
        // Danger: orders that the disk did not give this time would never be asked for again.
        let unreadable = matches!(found, Err(ReadError::Disk(..)));
        let was_unreadable = self.unreadable.replace(unreadable);
        if !unreadable {
            self.stamp.set(stamp);
        }
        match found {
            Ok(Some(orders)) => self.held.replace(orders.clone()) != orders,
            Ok(None) => false,
            Err(e) => {
                if !(unreadable && was_unreadable) {
                    tracing::warn!("operators' orders stay as they are: {e}");
                }
                false
            }
        }
    }

    /// Changes the orders for all processes, and has the disk take them. After an error this process holds what it held;
    /// where the very last step failed the file has the new orders, and the next look takes them from there. The call is
    /// to be made again: it always writes anew, since what could not be synced once counts as not on disk.
    ///
    /// # Errors
    /// If the orders could not be read, or not be synced.
    pub async fn change(&self, change: impl FnOnce(&mut Orders)) -> Result<(), String> {
        let Some(dir) = &self.dir else {
            change(&mut self.held.borrow_mut());
            return Ok(());
        };
        let lock = lock(dir).await?;
        let before = match read(dir) {
            Ok(before) => before,
            // Danger: to write over orders that could not be read would end bans that nobody took back.
            Err(e @ ReadError::Disk(..)) => return Err(e.to_string()),
            Err(e @ ReadError::Damaged(..)) => {
                tracing::warn!("operators' orders are written anew: {e}");
                None
            }
        };
        let mut orders = before.unwrap_or_else(|| self.orders());
        change(&mut orders);
        if orders.bans.len() > BANS_MOST {
            return Err(format!("more than {BANS_MOST} cache nodes are out"));
        }
        let (at, text) = (dir.clone(), encode(&orders)?);
        // Danger: a disk that hangs must not hold up the thread that serves. Whoever calls may give up meanwhile, so the lock
        // goes along; it ends only once this process holds what the file says.
        let write = move || (write(&at, &text), lock);
        let (written, _lock) =
            tokio::task::spawn_blocking(write).await.map_err(|e| format!("the writer ended: {e}"))?;
        written?;
        self.held.replace(orders);
        Ok(())
    }
}

async fn lock(dir: &Path) -> Result<File, String> {
    let path = dir.join(LOCK);
    let failed = |e| format!("{}: {e}", path.display());
    let file = OpenOptions::new().create(true).append(true).open(&path).map_err(failed)?;
    let until = Instant::now() + LOCK_WITHIN;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if Instant::now() < until => sleep(LOCK_AGAIN).await,
            Err(TryLockError::WouldBlock) => return Err(format!("{}: held by another", path.display())),
            Err(TryLockError::Error(e)) => return Err(failed(e)),
        }
    }
}

fn stamp(path: &Path) -> Option<Stamp> {
    fs::metadata(path).ok().map(|m| (m.ino(), m.mtime(), m.mtime_nsec()))
}

/// What the file says; none: there is no file.
fn read(dir: &Path) -> Result<Option<Orders>, ReadError> {
    let path = dir.join(FILE);
    let mut text = Vec::new();
    let read = match File::open(&path) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        file => file.and_then(|f| f.take(FILE_MOST).read_to_end(&mut text)),
    };
    if let Err(e) = read {
        return Err(ReadError::Disk(path, e));
    }
    serde_json::from_slice(&text).map(Some).map_err(|e| ReadError::Damaged(path, e))
}

fn encode(orders: &Orders) -> Result<Vec<u8>, String> {
    let text = serde_json::to_vec(orders).map_err(|e| format!("orders: {e}"))?;
    if text.len() as u64 > FILE_MOST {
        return Err("the orders are too long for their file".into());
    }
    Ok(text)
}

/// Danger: a reader that finds half a file would forget every ban, so the whole takes the old one's place at once. File and
/// folder are synced before this returns.
fn write(dir: &Path, text: &[u8]) -> Result<(), String> {
    let (new, path) = (dir.join(NEW), dir.join(FILE));
    let written = Disk.write(&new, text).and_then(|()| Disk.rename(&new, &path));
    written.map_err(|e| format!("{}: {e}", path.display()))
}

#[cfg(test)]
mod tests {
    use super::super::scratch::Scratch;
    use super::*;

    fn out(id: &'static str) -> impl FnOnce(&mut Orders) {
        move |orders| orders.bans.extend([id.to_owned()])
    }

    fn store(at: &Scratch) -> Store {
        Store::open(Some(at.path().to_owned()))
    }

    #[tokio::test(flavor = "current_thread")]
    async fn an_order_given_at_one_process_is_seen_by_another_and_by_the_next() {
        let at = Scratch::new();
        let (one, other) = (store(&at), store(&at));
        one.change(out("a")).await.expect("kept");
        assert!(other.look() && !other.look());
        other.change(|o| o.drain = true).await.expect("kept");
        assert!(one.look());
        let next = store(&at);
        assert!(next.look());
        for s in [one, other, next] {
            assert_eq!(s.orders(), Orders { drain: true, bans: ["a".to_owned()].into() });
        }
    }

    /// Danger: a damaged file must neither end the process nor make it forget what it knows.
    #[tokio::test(flavor = "current_thread")]
    async fn a_damaged_file_is_no_news_and_is_written_anew_by_the_next_call() {
        for damage in ["", "{\"bans\":", "\0\u{7f}", "{\"bans\":7}", "[]x"] {
            let at = Scratch::new();
            let one = store(&at);
            one.change(out("a")).await.expect("kept");
            fs::write(at.path().join(FILE), damage).expect("written");
            assert!(!one.look() && one.orders().bans.contains("a"), "{damage:?}");
            assert!(!store(&at).look());
            one.change(out("b")).await.expect("kept");
            let next = store(&at);
            assert!(next.look() && next.orders().bans.len() == 2, "{damage:?}");
        }
    }

    /// Danger: a yes for what is not kept would be forgotten by the next process.
    #[tokio::test(flavor = "current_thread")]
    async fn an_order_that_cannot_be_kept_changes_nothing() {
        let at = Scratch::new();
        let one = store(&at);
        let held = lock(at.path()).await.expect("locked");
        assert!(one.change(|o| o.drain = true).await.is_err() && !one.orders().drain);
        drop(held);
        let many = |o: &mut Orders| o.bans.extend((0..=BANS_MOST).map(|n| n.to_string()));
        assert!(one.change(many).await.is_err() && one.orders().bans.is_empty());
        let nowhere = Store::open(Some(at.path().join("missing")));
        assert!(nowhere.change(|o| o.drain = true).await.is_err() && !nowhere.orders().drain);
        let unkept = Store::open(None);
        unkept.change(|o| o.drain = true).await.expect("taken");
        assert!(unkept.orders().drain && !unkept.look());
    }
}
