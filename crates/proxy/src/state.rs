//! What operators have ordered and what must outlive the process: bans and the drain, in one small file that
//! old and new process share while one replaces the other.

use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read, Write};
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

/// Tells one writing of the file from the next, by equality alone: a wall clock that steps makes none seem older. The
/// inode differs as well, since each writing is a file of its own.
type Stamp = (u64, i64, i64);

/// The file, and what it last said.
pub struct Store {
    /// None: there is no place to keep anything.
    dir: Option<PathBuf>,
    held: RefCell<Orders>,
    stamp: Cell<Option<Stamp>>,
}

impl Store {
    pub fn open(dir: Option<PathBuf>) -> Self {
        Store { dir, held: RefCell::default(), stamp: Cell::new(None) }
    }

    /// The orders in force, as far as this process knows.
    pub fn orders(&self) -> Orders {
        self.held.borrow().clone()
    }

    /// Looks for orders given at another process; true if there are new ones.
    pub fn look(&self) -> bool {
        let Some(dir) = &self.dir else { return false };
        let stamp = stamp(&dir.join(FILE));
        if stamp.is_none() || stamp == self.stamp.replace(stamp) {
            return false;
        }
        match read(dir) {
            Ok(Some(orders)) => self.held.replace(orders.clone()) != orders,
            Ok(None) => false,
            Err(e) => {
                tracing::warn!("operators' orders stay as they are: {e}");
                false
            }
        }
    }

    /// Changes the orders for all processes; an error if they could not be kept, and then nothing has changed.
    pub async fn change(&self, change: impl FnOnce(&mut Orders)) -> Result<(), String> {
        let Some(dir) = &self.dir else {
            change(&mut self.held.borrow_mut());
            return Ok(());
        };
        let _lock = lock(dir).await?;
        let before = read(dir).unwrap_or_else(|e| {
            tracing::warn!("operators' orders are written anew: {e}");
            None
        });
        let mut orders = before.clone().unwrap_or_else(|| self.orders());
        change(&mut orders);
        if orders.bans.len() > BANS_MOST {
            return Err(format!("more than {BANS_MOST} cache nodes are out"));
        }
        if before.as_ref() != Some(&orders) {
            write(dir, &orders)?;
        }
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
fn read(dir: &Path) -> Result<Option<Orders>, String> {
    let path = dir.join(FILE);
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let mut text = Vec::new();
    match File::open(&path) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        file => file.and_then(|f| f.take(FILE_MOST).read_to_end(&mut text)).map_err(|e| failed(&e))?,
    };
    serde_json::from_slice(&text).map(Some).map_err(|e| failed(&e))
}

/// Danger: a reader that finds half a file would forget every ban, so the whole takes the old one's place at once.
fn write(dir: &Path, orders: &Orders) -> Result<(), String> {
    let (new, path) = (dir.join(NEW), dir.join(FILE));
    let text = serde_json::to_vec(orders).map_err(|e| format!("orders: {e}"))?;
    if text.len() as u64 > FILE_MOST {
        return Err("the orders are too long for their file".into());
    }
    let written =
        File::create(&new).and_then(|mut f| f.write_all(&text)).and_then(|()| fs::rename(&new, &path));
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
