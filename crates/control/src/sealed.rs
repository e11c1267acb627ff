//! One value in one file, written beside and renamed, with a checksum over all of it: what is found again is what was
//! written, or is known to be damaged.

use sha2::{Digest, Sha256};
use std::fs::File;
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

/// A larger file is not read, in bytes.
const MOST: u64 = 64 << 20;
/// The first line is no longer than this, in bytes.
const HEAD_MOST: usize = 200;

/// What is done to files, each a step that a crash may come before or after.
pub trait Files {
    /// A file's bytes, or none if there is no such file.
    ///
    /// # Errors
    /// If it is there and can't be read.
    fn read(&mut self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Makes a file anew with these bytes and has the disk take them.
    ///
    /// # Errors
    /// If not all of that was done; some may have been.
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Gives a file another name, over whatever had it, and has the disk take that.
    ///
    /// # Errors
    /// If not all of that was done; some may have been.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The files of this machine.
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
        file.take(MOST + 1).read_to_end(&mut bytes)?;
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

/// What was found.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// Nothing was ever kept.
    Nothing,
    /// What was kept.
    Whole(Vec<u8>),
    /// Something that is none; it was put aside under the name given, if that could be done.
    Damaged {
        /// What is wrong with it.
        why: String,
        /// Where it is now.
        aside: Option<PathBuf>,
    },
}

/// A file with one value.
pub struct Sealed<F> {
    files: F,
    path: PathBuf,
    magic: &'static str,
}

fn beside(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(ending);
    name.into()
}

fn sum(payload: &[u8]) -> String {
    Sha256::digest(payload).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl<F: Files> Sealed<F> {
    /// This file; `magic` is what its first line begins with: what it holds, and the version of its form.
    pub fn new(files: F, path: PathBuf, magic: &'static str) -> Self {
        Sealed { files, path, magic }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps a value in place of the one before, all of it written anew.
    ///
    /// # Errors
    /// If it is not known to be on disk. The one before is still there, or, where the very last step failed, this one in its
    /// place; never anything between.
    pub fn keep(&mut self, payload: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{} {} {}\n", self.magic, sum(payload), payload.len()).into_bytes();
        bytes.extend_from_slice(payload);
        let new = beside(&self.path, ".new");
        self.files.write(&new, &bytes)?;
        self.files.rename(&new, &self.path)
    }

    /// Finds what was kept. A file that is none is put aside and never fatal.
    ///
    /// # Errors
    /// If there is a file that can't be read.
    pub fn find(&mut self) -> io::Result<Found> {
        let Some(bytes) = self.files.read(&self.path)? else { return Ok(Found::Nothing) };
        Ok(match opened(&bytes, self.magic) {
            Ok(payload) => Found::Whole(payload.to_vec()),
            Err(why) => Found::Damaged { why, aside: self.put_aside() },
        })
    }

    /// Puts a file aside whose value makes no sense to its owner; where it is then, if that could be done.
    pub fn put_aside(&mut self) -> Option<PathBuf> {
        let aside = beside(&self.path, ".damaged");
        self.files.rename(&self.path, &aside).is_ok().then_some(aside)
    }
}

fn opened<'a>(bytes: &'a [u8], magic: &str) -> Result<&'a [u8], String> {
    if bytes.len() as u64 > MOST {
        return Err(format!("it is longer than {MOST} bytes"));
    }
    let end = bytes.iter().take(HEAD_MOST).position(|b| *b == b'\n').ok_or("its first line has no end")?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| "its first line is no text")?;
    let payload = &bytes[end + 1..];
    let rest = head.strip_prefix(magic).ok_or_else(|| format!("it does not begin with {magic:?}"))?;
    let (told, length) = rest.trim_start().split_once(' ').ok_or("its first line is cut short")?;
    if length.parse() != Ok(payload.len()) {
        return Err(format!("{} bytes are there, and {length} were written", payload.len()));
    }
    if told != sum(payload) {
        return Err("its checksum is another".into());
    }
    Ok(payload)
}
