//! One value in one file with a checksum. A value is written to a new file, which is then renamed. Loading
//! returns a value that was saved, or detects that the file is damaged.

use sha2::{Digest, Sha256};
use std::fs::File;
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

/// Maximum size of a file that is loaded.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// Maximum length of the first line.
const MAX_HEADER_BYTES: usize = 200;

/// File operations. Tests implement them with a crash before, during or after one of them.
pub trait Files {
    /// Returns the bytes of a file, or `None` if there is no such file.
    ///
    /// # Errors
    /// If it exists and can't be read.
    fn read(&mut self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Creates or replaces a file with these bytes, and syncs it.
    ///
    /// # Errors
    /// If that failed. Part of it may have been done.
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file, replacing any file with the new name, and syncs the folder.
    ///
    /// # Errors
    /// If that failed. Part of it may have been done.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The file system of this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl Files for Disk {
    fn read(&mut self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let mut bytes = Vec::new();
        file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(path)?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)?;
        match to.parent() {
            Some(folder) => File::open(folder)?.sync_all(),
            None => Ok(()),
        }
    }
}

/// The result of loading.
#[derive(Clone, Debug, PartialEq)]
pub enum Loaded {
    /// There is no file.
    Missing,
    /// The saved value.
    Intact(Vec<u8>),
    /// The file is damaged.
    Damaged {
        /// The reason why it is not valid.
        reason: String,
        /// The path that it was renamed to, if that was possible.
        quarantined: Option<PathBuf>,
    },
}

/// Why a file is damaged.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
enum Damage {
    #[error("it is longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
    #[error("its first line has no end")]
    NoHeader,
    #[error("its first line is not UTF-8")]
    HeaderNotText,
    #[error("it does not begin with {0:?}")]
    WrongMagic(&'static str),
    #[error("its first line is incomplete")]
    HeaderTooShort,
    #[error("its payload has {actual} bytes, and {expected} are expected")]
    WrongLength { actual: usize, expected: String },
    #[error("its checksum does not match")]
    WrongChecksum,
}

/// A file with one value.
pub struct ChecksummedFile<F> {
    files: F,
    path: PathBuf,
    magic: &'static str,
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    name.into()
}

fn checksum(payload: &[u8]) -> String {
    Sha256::digest(payload).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl<F: Files> ChecksummedFile<F> {
    /// Creates a handle for the file with this path. Its first line begins with `magic`, which identifies the
    /// kind of value and the version of the format.
    pub fn new(files: F, path: PathBuf, magic: &'static str) -> Self {
        ChecksummedFile { files, path, magic }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Replaces the saved value. The file is always written completely.
    ///
    /// # Errors
    /// If the value is not known to be on disk. The file has the previous value then or, if the last step
    /// failed, possibly the new one, but never a mixture.
    pub fn save(&mut self, payload: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{} {} {}\n", self.magic, checksum(payload), payload.len()).into_bytes();
        bytes.extend_from_slice(payload);
        let new = with_suffix(&self.path, ".new");
        self.files.write(&new, &bytes)?;
        self.files.rename(&new, &self.path)
    }

    /// Loads the saved value. A damaged file is quarantined.
    ///
    /// # Errors
    /// If the file exists and can't be read.
    pub fn load(&mut self) -> io::Result<Loaded> {
        let Some(bytes) = self.files.read(&self.path)? else { return Ok(Loaded::Missing) };
        Ok(match payload_of(&bytes, self.magic) {
            Ok(payload) => Loaded::Intact(payload.to_vec()),
            Err(damage) => Loaded::Damaged { reason: damage.to_string(), quarantined: self.quarantine() },
        })
    }

    /// Renames a damaged file, or one with a value that the caller can't interpret. Returns the new path, if
    /// that was possible.
    pub fn quarantine(&mut self) -> Option<PathBuf> {
        let quarantined = with_suffix(&self.path, ".damaged");
        self.files.rename(&self.path, &quarantined).is_ok().then_some(quarantined)
    }
}

fn payload_of<'a>(bytes: &'a [u8], magic: &'static str) -> Result<&'a [u8], Damage> {
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(Damage::TooLong);
    }
    let end = bytes.iter().take(MAX_HEADER_BYTES).position(|byte| *byte == b'\n').ok_or(Damage::NoHeader)?;
    let header = std::str::from_utf8(&bytes[..end]).map_err(|_| Damage::HeaderNotText)?;
    let payload = &bytes[end + 1..];
    let rest = header.strip_prefix(magic).ok_or(Damage::WrongMagic(magic))?;
    let (expected_checksum, length) = rest.trim_start().split_once(' ').ok_or(Damage::HeaderTooShort)?;
    if length.parse() != Ok(payload.len()) {
        return Err(Damage::WrongLength { actual: payload.len(), expected: length.to_owned() });
    }
    if expected_checksum != checksum(payload) {
        return Err(Damage::WrongChecksum);
    }
    Ok(payload)
}
