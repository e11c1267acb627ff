//! A file that holds an endpoint list, with a checksum.

use crate::background_writer::BackgroundWriter;
use aniseyoke_control::checksummed_file::{ChecksummedFile, Disk, Loaded};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::{Path, PathBuf};

/// Longest file that is read. A list of the most entries is shorter, and a proxy may have only 32 MB of
/// memory in total.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Returns the value of a file; `None` if there is none, or it can't be used, which is logged. `magic` is the
/// beginning of its first line: its type and the version of its format.
pub(super) fn load<T: DeserializeOwned>(file: &Path, magic: &'static str) -> Option<T> {
    let name = file.display();
    let length = std::fs::metadata(file).map_or(0, |metadata| metadata.len());
    if length > MAX_FILE_BYTES {
        tracing::warn!("{name}: the kept list is not used: {length} bytes are more than {MAX_FILE_BYTES}");
        return None;
    }
    match ChecksummedFile::new(Disk, file.to_owned(), magic).load() {
        Ok(Loaded::Missing) => None,
        Ok(Loaded::Intact(payload)) => {
            let value = serde_json::from_slice(&payload);
            value.map_err(|e| tracing::warn!("{name}: the kept list can't be read and is not used: {e}")).ok()
        }
        Ok(Loaded::Damaged { reason: cause, quarantined: destination }) => {
            let action = destination.map_or("left".to_owned(), |to| format!("put aside as {}", to.display()));
            tracing::warn!("{name}: the kept list is damaged, not used and {action}: {cause}");
            None
        }
        Err(e) => {
            tracing::warn!("{name}: the kept list can't be read and is not used: {e}");
            None
        }
    }
}

/// Starts a writer of the file, which must be the only one.
///
/// # Errors
/// If its thread can't be started.
pub(super) fn start_writer<T: Serialize + Send + 'static>(
    file: PathBuf,
    magic: &'static str,
) -> std::io::Result<BackgroundWriter<T>> {
    let mut store = ChecksummedFile::new(Disk, file, magic);
    let mut failing = false;
    BackgroundWriter::start(move |value: &T| {
        let payload = serde_json::to_vec(value).map_err(std::io::Error::from);
        let saved = payload.and_then(|payload| store.save(&payload));
        match (&saved, failing) {
            (Err(e), false) => {
                tracing::warn!("{}: the list could not be stored: {e}", store.path().display());
            }
            (Ok(()), true) => tracing::info!("{}: the list is stored again", store.path().display()),
            _ => {}
        }
        failing = saved.is_err();
        !failing
    })
}
