//! The endpoint list cached on disk over restarts: found and checked at the start, and written as the service sends it.

use super::status::{ListSource, ListStatus};
use crate::background_writer::BackgroundWriter;
use crate::config::{Config, Endpoint, EndpointList};
use crate::wall_clock::unix_millis;
use aniseyoke_config::model::List;
use aniseyoke_control::checksummed_file::{ChecksummedFile, Disk, Loaded};
use aniseyoke_pace::retained_list::{check_age, ListMetadata};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The file in the folder.
const KEPT: &str = "aniseyoke-list";
/// Its first words, and the version of its form.
const MAGIC: &str = "aniseyoke-list 1";
/// While nothing changes it is written anew after this part of the time for which it counts, so that it stays fresh.
const REFRESH_DIVISOR: u32 = 8;
/// Entries of a list; with more it is not kept.
const MAX_ENTRIES: usize = 1 << 14;
/// A larger file is not read, in bytes: such a list takes less, and a proxy may have 32 MB for
/// everything.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// What stands in the file.
#[derive(Serialize, Deserialize)]
struct Kept {
    site: String,
    at_ms: u64,
    list: EndpointList,
}

/// Why the list can't be cached.
#[derive(Debug, Error)]
pub enum CacheError {
    /// The folder can't be made.
    #[error("{}: {source}", .folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The writer has no thread.
    #[error("no thread: {0}")]
    Thread(#[source] std::io::Error),
}

/// The list as the service sends it, and the writer of its file.
pub struct CachedListWriter {
    site: String,
    /// By id; none: not told whole yet.
    entries: Option<BTreeMap<String, Endpoint>>,
    /// Of the list that was written last; none: none was.
    version: Option<u64>,
    written: Option<Instant>,
    refresh_interval: Duration,
    keeping: BackgroundWriter<Kept>,
}

/// What a cached list must match to be used here: the site, and the names that its entries use.
fn site_of(rules: &List, config: &Config) -> String {
    let site = rules.site.clone().unwrap_or_else(|| config.discovery.to_string());
    let names = &config.names;
    format!("{site}, zones {}, kinds {}", names.zones.join("+"), names.kinds.join("+"))
}

/// Begins with the list on disk in place of the platform's, if it may be used. Returns the status of the list, and the
/// writer of the cache, if there is to be one. A file that may not be used is named in the log, and prevents no start.
pub fn restore(rules: &List, config: &mut Config) -> (Rc<ListStatus>, Option<CachedListWriter>) {
    let platform = |config: &Config| match &config.initial_list {
        Some(known) => ListStatus::new(ListSource::Platform, Some(known.version), None),
        None => ListStatus::new(ListSource::Nothing, None, None),
    };
    let Some(folder) = &rules.keep else { return (platform(config), None) };
    let site = site_of(rules, config);
    let file = folder.join(KEPT);
    let found = find(&file, &site, rules.fresh_for, config);
    let held = match &found {
        Some((kept, age)) => {
            config.initial_list = Some(kept.list.clone());
            ListStatus::new(ListSource::Disk, Some(kept.list.version), Some(*age))
        }
        None => platform(config),
    };
    // What the service tells next may be changes to the list that is held, wherever that came from.
    let list = config.initial_list.as_ref().filter(|known| known.full);
    let writer = CachedListWriter::start(folder, file, site, rules.fresh_for / REFRESH_DIVISOR, list);
    (held, writer.map_err(|why| tracing::warn!("the list is not kept: {why}")).ok())
}

/// The list in a file and its age, if it may be used.
fn find(file: &Path, site: &str, fresh_for: Duration, config: &Config) -> Option<(Kept, Duration)> {
    let name = file.display();
    let length = std::fs::metadata(file).map_or(0, |about| about.len());
    if length > MAX_FILE_BYTES {
        tracing::warn!("{name}: the kept list is not used: {length} bytes are more than {MAX_FILE_BYTES}");
        return None;
    }
    let kept: Kept = match ChecksummedFile::new(Disk, file.to_owned(), MAGIC).load() {
        Ok(Loaded::Missing) => return None,
        Ok(Loaded::Intact(payload)) => match serde_json::from_slice(&payload) {
            Ok(kept) => kept,
            Err(e) => {
                tracing::warn!("{name}: the kept list can't be read and is not used: {e}");
                return None;
            }
        },
        Ok(Loaded::Damaged { reason: why, quarantined: aside }) => {
            let aside = aside.map_or("left".to_owned(), |to| format!("put aside as {}", to.display()));
            tracing::warn!("{name}: the kept list is damaged, not used and {aside}: {why}");
            return None;
        }
        Err(e) => {
            tracing::warn!("{name}: the kept list can't be read and is not used: {e}");
            return None;
        }
    };
    let label =
        ListMetadata { site: kept.site.clone(), version: kept.list.version, confirmed_unix_ms: kept.at_ms };
    let known = config.initial_list.as_ref().map(|known| known.version);
    match check_age(&label, site, known, unix_millis(), fresh_for) {
        Ok(age) => {
            let (entries, version) = (kept.list.servers.len(), kept.list.version);
            let seconds = age.as_secs();
            tracing::info!(
                "{name}: begun with version {version} of the list, {entries} entries, {seconds} s old"
            );
            Some((kept, age))
        }
        Err(unfit) => {
            tracing::warn!("{name}: the kept list is not used: {unfit}");
            None
        }
    }
}

impl CachedListWriter {
    fn start(
        folder: &Path,
        file: PathBuf,
        site: String,
        refresh_interval: Duration,
        list: Option<&EndpointList>,
    ) -> Result<Self, CacheError> {
        let no_folder = |source| CacheError::Folder { folder: folder.to_owned(), source };
        std::fs::create_dir_all(folder).map_err(no_folder)?;
        let mut store = ChecksummedFile::new(Disk, file, MAGIC);
        let mut failing = false;
        let write = move |kept: &Kept| {
            let payload = serde_json::to_vec(kept).map_err(std::io::Error::from);
            let done = payload.and_then(|payload| store.save(&payload));
            match (&done, failing) {
                (Err(e), false) => {
                    tracing::warn!("{}: the list could not be kept: {e}", store.path().display());
                }
                (Ok(()), true) => tracing::info!("{}: the list is kept again", store.path().display()),
                _ => {}
            }
            failing = done.is_err();
            !failing
        };
        let keeping = BackgroundWriter::start(write).map_err(CacheError::Thread)?;
        Ok(CachedListWriter {
            site,
            entries: list.map(by_id),
            version: None,
            written: None,
            refresh_interval,
            keeping,
        })
    }

    /// The service has sent the list or changes of it, perhaps none.
    pub fn update(&mut self, members: &EndpointList) {
        if members.full {
            self.entries = Some(by_id(members));
        }
        // Changes to a list that is not held are no list; the next whole one is kept.
        let Some(entries) = &mut self.entries else { return };
        for member in members.servers.iter().filter(|_| !members.full) {
            if member.gone() {
                entries.remove(member.id());
            } else {
                entries.insert(member.id().to_owned(), member.clone());
            }
        }
        if entries.len() > MAX_ENTRIES {
            self.entries = None;
            return;
        }
        let changed = self.version.replace(members.version) != Some(members.version);
        if !changed && self.written.is_some_and(|at| at.elapsed() < self.refresh_interval) {
            return;
        }
        self.written = Some(Instant::now());
        let list = EndpointList {
            version: members.version,
            full: true,
            servers: entries.values().cloned().collect(),
        };
        self.keeping.write(Kept { site: self.site.clone(), at_ms: unix_millis(), list });
    }
}

fn by_id(list: &EndpointList) -> BTreeMap<String, Endpoint> {
    let listed = list.servers.iter().filter(|m| !m.gone());
    listed.map(|m| (m.id().to_owned(), m.clone())).collect()
}
