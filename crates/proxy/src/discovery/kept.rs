//! The cache of the endpoint list on disk: read and validated at the start, and written as the service sends
//! changes.

use super::list_file;
use super::merged_list::MergedList;
use super::status::{ListSource, ListStatus};
use crate::background_writer::BackgroundWriter;
use crate::config::{Config, EndpointList};
use crate::wall_clock::unix_millis;
use aniseyoke_config::model::List;
use aniseyoke_pace::retained_list::{check_age, ListMetadata};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Name of the cache file.
const FILE_NAME: &str = "aniseyoke-list";
/// First line of the file: its type and the version of its format.
const MAGIC: &str = "aniseyoke-list 1";
/// An unchanged list is rewritten after this fraction of the time for which it may be used, so that it stays
/// fresh.
const REFRESH_DIVISOR: u32 = 8;

/// Content of the file.
#[derive(Serialize, Deserialize)]
struct CachedList {
    site: String,
    at_ms: u64,
    list: EndpointList,
}

/// Why the list can't be cached.
#[derive(Debug, Error)]
pub enum CacheError {
    /// The folder can't be created.
    #[error("{}: {source}", .folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The writer's thread can't be started.
    #[error("can't start the writer thread: {0}")]
    Thread(#[source] std::io::Error),
}

/// The current list as sent by the service, and the writer of its file.
pub struct CachedListWriter {
    site: String,
    list: MergedList,
    /// Version of the list that was written last, if any.
    version: Option<u64>,
    written: Option<Instant>,
    refresh_interval: Duration,
    writer: BackgroundWriter<CachedList>,
}

/// Returns the identity that a cached list must match to be used: the site, and the names of zones and kinds.
fn cache_site(rules: &List, config: &Config) -> String {
    let site = rules.site.clone().unwrap_or_else(|| config.discovery.to_string());
    let names = &config.names;
    format!("{site}, zones {}, kinds {}", names.zones.join("+"), names.kinds.join("+"))
}

/// Replaces the platform's initial list by the one on disk, if that is valid and fresh. Returns the status of
/// the list, and the writer of the cache if caching is configured. A file that can't be used is logged and
/// does not prevent the start.
pub fn restore(rules: &List, config: &mut Config) -> (Rc<ListStatus>, Option<CachedListWriter>) {
    let platform_status = |config: &Config| match &config.initial_list {
        Some(list) => ListStatus::new(ListSource::Platform, Some(list.version), None),
        None => ListStatus::new(ListSource::Nothing, None, None),
    };
    let Some(folder) = &rules.keep else { return (platform_status(config), None) };
    let site = cache_site(rules, config);
    let file = folder.join(FILE_NAME);
    let found = load(&file, &site, rules.fresh_for, config);
    let status = match &found {
        Some((cached, age)) => {
            config.initial_list = Some(cached.list.clone());
            ListStatus::new(ListSource::Disk, Some(cached.list.version), Some(*age))
        }
        None => platform_status(config),
    };
    // The service's next answer may hold changes to the initial list, wherever that came from.
    let list = config.initial_list.as_ref();
    let writer = CachedListWriter::start(folder, file, site, rules.fresh_for / REFRESH_DIVISOR, list);
    (status, writer.map_err(|error| tracing::warn!("the list is not kept: {error}")).ok())
}

/// Returns the list of a file and its age, if the list may be used.
fn load(file: &Path, site: &str, fresh_for: Duration, config: &Config) -> Option<(CachedList, Duration)> {
    let name = file.display();
    let cached: CachedList = list_file::load(file, MAGIC)?;
    let metadata = ListMetadata {
        site: cached.site.clone(),
        version: cached.list.version,
        confirmed_unix_ms: cached.at_ms,
    };
    let initial_version = config.initial_list.as_ref().map(|list| list.version);
    match check_age(&metadata, site, initial_version, unix_millis(), fresh_for) {
        Ok(age) => {
            let (entries, version) = (cached.list.servers.len(), cached.list.version);
            let seconds = age.as_secs();
            tracing::info!(
                "{name}: begun with version {version} of the list, {entries} entries, {seconds} s old"
            );
            Some((cached, age))
        }
        Err(reason) => {
            tracing::warn!("{name}: the kept list is not used: {reason}");
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
        let writer = list_file::start_writer(file, MAGIC).map_err(CacheError::Thread)?;
        Ok(CachedListWriter {
            site,
            list: MergedList::new(list),
            version: None,
            written: None,
            refresh_interval,
            writer,
        })
    }

    /// Applies the full list or changes to it, perhaps none, and writes the result if it changed or must be
    /// refreshed.
    pub fn update(&mut self, received: &EndpointList) {
        if !self.list.apply(received) {
            return;
        }
        let changed = self.version.replace(received.version) != Some(received.version);
        if !changed && self.written.is_some_and(|written| written.elapsed() < self.refresh_interval) {
            return;
        }
        self.written = Some(Instant::now());
        let Some(list) = self.list.to_list(received.version) else { return };
        self.writer.write(CachedList { site: self.site.clone(), at_ms: unix_millis(), list });
    }
}
