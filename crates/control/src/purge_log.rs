//! The root's log of purges on disk: records with a checksum, synced before a publisher is answered, in segments of
//! which the oldest goes. What is found again is what was synced; a torn end is cut, and anything else that is damaged
//! is a lost log: a new epoch. Nothing is appended behind what a failed write left: that is cut off first.

use crate::sealed::{Disk, Files};
use aniseyoke_fanout::{Log, Progress, Publishers};
use std::fs::{File, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

const MAGIC: &[u8; 8] = b"ANPURGE1";
/// A record begins with its length (4 bytes) and its checksum (8 bytes).
const HEAD: usize = 12;
/// A longer record is none, in bytes.
const RECORD_MOST: usize = 16 << 20;

/// One publisher's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Who made it.
    pub publisher: String,
    /// The publisher's number of it.
    pub sequence: u64,
    /// The keys, hashed.
    pub keys: Vec<u64>,
}

/// What was found on disk.
pub struct Opened {
    /// To append to.
    pub file: PurgeLog,
    /// What is kept, in memory.
    pub log: Log,
    /// Which calls were numbered.
    pub publishers: Publishers,
    /// What those on call are to know.
    pub say: Vec<String>,
}

/// The log's files.
pub struct PurgeLog {
    dir: PathBuf,
    epoch: u64,
    /// Entries that a segment takes.
    most: u64,
    file: File,
    /// The length of what is sound in the file, in bytes.
    length: u64,
    /// The number before the segment's first entry.
    after: u64,
    newest: u64,
    state: State,
}

/// Whether records can be appended.
#[derive(Clone, Copy, PartialEq)]
enum State {
    /// They can.
    Sound,
    /// A write or sync failed: the file may hold bytes past its sound length, which have to be cut off first.
    Torn,
    /// Its files were being put aside: it has to begin anew first.
    PutAside,
}

fn segment(dir: &Path, after: u64) -> PathBuf {
    dir.join(format!("purges-{after:020}"))
}

/// All segments, the oldest first: the number before each one's first entry.
fn segments(dir: &Path) -> io::Result<Vec<u64>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        let name = entry?.file_name();
        found.extend(
            name.to_str().and_then(|n| n.strip_prefix("purges-")).and_then(|n| n.parse::<u64>().ok()),
        );
    }
    found.sort_unstable();
    Ok(found)
}

fn record(payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(xxh3_64(payload).to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// The first payload, and the length of its record. None where the bytes end before it does.
fn first(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, &'static str> {
    let Some(head) = bytes.first_chunk::<HEAD>() else { return Ok(None) };
    let (length, sum) = head.split_at(4);
    let length = length.iter().fold(0, |n, byte| n << 8 | usize::from(*byte));
    let sum = sum.iter().fold(0, |n, byte| n << 8 | u64::from(*byte));
    if length > RECORD_MOST {
        return Err("a record is too long");
    }
    let Some(payload) = bytes.get(HEAD..HEAD + length) else { return Ok(None) };
    match (xxh3_64(payload) == sum, bytes.len() == HEAD + length) {
        (true, _) => Ok(Some((payload, HEAD + length))),
        // The last one was not taken by the disk as a whole.
        (false, true) => Ok(None),
        (false, false) => Err("a record's checksum is another"),
    }
}

fn header(epoch: u64, after: u64) -> Vec<u8> {
    let mut payload = MAGIC.to_vec();
    payload.extend(epoch.to_be_bytes());
    payload.extend(after.to_be_bytes());
    record(&payload)
}

fn encode(calls: &[Call]) -> Vec<u8> {
    let mut payload = Vec::new();
    for call in calls {
        payload.extend(call.sequence.to_be_bytes());
        payload.extend((call.publisher.len() as u32).to_be_bytes());
        payload.extend(call.publisher.as_bytes());
        payload.extend((call.keys.len() as u32).to_be_bytes());
        call.keys.iter().for_each(|key| payload.extend(key.to_be_bytes()));
    }
    record(&payload)
}

fn number(bytes: &mut &[u8]) -> Option<u64> {
    let (head, rest) = bytes.split_first_chunk::<8>()?;
    *bytes = rest;
    Some(u64::from_be_bytes(*head))
}

fn part<'a>(bytes: &mut &'a [u8], size: usize) -> Option<&'a [u8]> {
    let (head, rest) = bytes.split_first_chunk::<4>()?;
    let length = (u32::from_be_bytes(*head) as usize).checked_mul(size)?;
    let found = rest.get(..length)?;
    *bytes = &rest[length..];
    Some(found)
}

fn call(bytes: &mut &[u8]) -> Option<Call> {
    let sequence = number(bytes)?;
    let publisher = String::from_utf8(part(bytes, 1)?.to_vec()).ok()?;
    let mut keys = part(bytes, 8)?;
    let keys = std::iter::from_fn(|| number(&mut keys)).collect();
    Some(Call { publisher, sequence, keys })
}

/// One segment as it was found.
struct Read {
    epoch: u64,
    after: u64,
    calls: Vec<Call>,
    /// Its bytes, as far as they are sound.
    sound: Vec<u8>,
    /// How many bytes at its end are not.
    torn: usize,
}

impl Read {
    fn newest(&self) -> u64 {
        self.after + self.calls.iter().map(|call| call.keys.len() as u64).sum::<u64>()
    }
}

/// Why no log was found where there are files of one.
enum Unfound {
    /// The disk did not give or take bytes: the log may be sound, and is left as it is.
    Disk(String),
    /// It is lost.
    Damaged(String),
}

fn disk(path: &Path) -> impl Fn(io::Error) -> Unfound + '_ {
    move |e| Unfound::Disk(told(path)(e))
}

/// Reads a segment; none where its very header is torn.
fn read(path: &Path) -> Result<Option<Read>, Unfound> {
    let mut bytes = Vec::new();
    File::open(path).and_then(|mut f| f.read_to_end(&mut bytes)).map_err(disk(path))?;
    parse(path, bytes).map_err(Unfound::Damaged)
}

fn parse(path: &Path, mut bytes: Vec<u8>) -> Result<Option<Read>, String> {
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let Some((mut head, mut at)) = first(&bytes).map_err(|e| named(&e))? else { return Ok(None) };
    let strange = || named(&"it is no segment of a log of purges");
    head = head.strip_prefix(MAGIC.as_slice()).ok_or_else(strange)?;
    let (epoch, after) = number(&mut head).zip(number(&mut head)).ok_or_else(strange)?;
    let mut calls = Vec::new();
    while let Some((mut payload, length)) = first(&bytes[at..]).map_err(|e| named(&e))? {
        while !payload.is_empty() {
            calls.push(call(&mut payload).ok_or_else(|| named(&"a record makes no sense"))?);
        }
        at += length;
    }
    let torn = bytes.len() - at;
    bytes.truncate(at);
    Ok(Some(Read { epoch, after, calls, sound: bytes, torn }))
}

fn told(path: &Path) -> impl Fn(io::Error) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

/// Writes a segment anew under its own name, and opens it to append to. Danger: what was read may stand in memory only, if the
/// sync of it failed in a process that then was killed; a sync of the same file would say nothing of that.
fn written_anew(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let new = path.with_extension("new");
    Disk.write(&new, bytes)?;
    Disk.rename(&new, path)?;
    OpenOptions::new().append(true).open(path)
}

fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

impl PurgeLog {
    /// Opens the log in a folder, or begins one under the epoch given, which is higher than any before. At least the last
    /// `most` entries are kept, and at most twice as many and one batch.
    ///
    /// # Errors
    /// If the folder or its files can't be read or written; what is there stays as it is then.
    pub fn open(dir: &Path, most: usize, epoch: u64) -> Result<Opened, String> {
        std::fs::create_dir_all(dir).map_err(told(dir))?;
        let mut say = Vec::new();
        match Self::found(dir, most, &mut say) {
            Ok(Some((file, log, publishers))) => return Ok(Opened { file, log, publishers, say }),
            Ok(None) => {}
            Err(Unfound::Disk(why)) => return Err(why),
            Err(Unfound::Damaged(why)) => {
                say.push(format!(
                    "the log of purges is damaged: {why}; a new epoch begins, and all below are flushed"
                ));
                for after in segments(dir).map_err(told(dir))? {
                    let (from, to) = (segment(dir, after), dir.join(format!("damaged-purges-{after:020}")));
                    std::fs::rename(&from, to).map_err(told(&from))?;
                }
            }
        }
        let file = Self::begin(dir, epoch, 0, most as u64).map_err(told(dir))?;
        let log = Log::new(Progress { epoch, through: 0 }, most);
        Ok(Opened { file, log, publishers: Publishers::default(), say })
    }

    #[allow(clippy::type_complexity)]
    fn found(
        dir: &Path,
        most: usize,
        say: &mut Vec<String>,
    ) -> Result<Option<(Self, Log, Publishers)>, Unfound> {
        let cut_short = |path: &Path| Unfound::Damaged(format!("{}: it is cut short", path.display()));
        let all = segments(dir).map_err(disk(dir))?;
        let mut log: Option<Log> = None;
        let mut publishers = Publishers::default();
        let mut last = None;
        for (n, after) in all.iter().enumerate() {
            let path = segment(dir, *after);
            let Some(found) = read(&path)? else {
                if n + 1 < all.len() {
                    return Err(cut_short(&path));
                }
                say.push(format!("{}: it was just begun, and is torn: it goes", path.display()));
                std::fs::remove_file(&path).map_err(disk(&path))?;
                continue;
            };
            if found.torn > 0 {
                if n + 1 < all.len() {
                    return Err(cut_short(&path));
                }
                let cut = found.torn;
                say.push(format!("{}: {cut} bytes at its end are torn, and cut off", path.display()));
            }
            let at = Progress { epoch: found.epoch, through: found.after };
            let log = log.get_or_insert_with(|| Log::new(at, most));
            if log.at() != at || found.after != *after {
                let why = format!("{}: it does not follow the one before it", path.display());
                return Err(Unfound::Damaged(why));
            }
            for call in &found.calls {
                call.keys.iter().for_each(|key| _ = log.append(*key));
                publishers.note(&call.publisher, call.sequence, log.newest());
            }
            last = Some((path, found));
        }
        let (Some(log), Some((path, found))) = (log, last) else { return Ok(None) };
        let file = written_anew(&path, &found.sound).map_err(disk(&path))?;
        let (epoch, after, newest) = (found.epoch, found.after, found.newest());
        let (dir, most, length, state) =
            (dir.to_owned(), most as u64, found.sound.len() as u64, State::Sound);
        Ok(Some((PurgeLog { dir, epoch, most, file, length, after, newest, state }, log, publishers)))
    }

    fn begin(dir: &Path, epoch: u64, after: u64, most: u64) -> io::Result<Self> {
        let head = header(epoch, after);
        let path = segment(dir, after);
        // One that was begun and could not be finished holds nothing.
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let mut file = OpenOptions::new().create_new(true).append(true).open(path)?;
        file.write_all(&head)?;
        file.sync_all()?;
        sync_dir(dir)?;
        let length = head.len() as u64;
        let (dir, state) = (dir.to_owned(), State::Sound);
        Ok(PurgeLog { dir, epoch, most, file, length, after, newest: after, state })
    }

    /// Begins anew under a higher epoch; what there was is put aside.
    ///
    /// # Errors
    /// If the folder or its files can't be written. It takes nothing then until it has begun anew.
    pub fn begin_anew(&mut self, epoch: u64) -> io::Result<()> {
        // Danger: what is appended to a file that was put aside is not found by the next start.
        self.state = State::PutAside;
        for after in segments(&self.dir)? {
            let aside = self.dir.join(format!("before-{epoch}-purges-{after:020}"));
            std::fs::rename(segment(&self.dir, after), aside)?;
        }
        *self = Self::begin(&self.dir, epoch, 0, self.most)?;
        Ok(())
    }

    /// Appends calls as one, and has the disk take them.
    ///
    /// # Errors
    /// If they could not be kept. Then none of them is, or, where even that could not be brought about, nothing is taken
    /// until it could be: each further call tries that first.
    pub fn append(&mut self, calls: &[Call]) -> Result<(), String> {
        if self.state == State::PutAside {
            return Err(format!("{}: the log is put aside, and has not begun anew yet", self.dir.display()));
        }
        let uncut = |dir: &Path, e: &io::Error| {
            format!("{}: what a failed write left could not be cut off: {e}", dir.display())
        };
        if self.state == State::Torn {
            self.cut().map_err(|e| uncut(&self.dir, &e))?;
        }
        let Err(e) = self.written(calls) else { return Ok(()) };
        self.state = State::Torn;
        let why = format!("{}: {e}", self.dir.display());
        match self.cut() {
            Ok(()) => Err(why),
            Err(e) => Err(format!("{why}; {}", uncut(&self.dir, &e))),
        }
    }

    /// Cuts off what a failed write or sync has left behind the last sound record.
    fn cut(&mut self) -> io::Result<()> {
        self.file.set_len(self.length)?;
        self.file.sync_all()?;
        self.state = State::Sound;
        Ok(())
    }

    fn written(&mut self, calls: &[Call]) -> io::Result<()> {
        if self.newest - self.after >= self.most {
            let old = self.after;
            *self = Self::begin(&self.dir, self.epoch, self.newest, self.most)?;
            self.remove_before(old);
        }
        let bytes = encode(calls);
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.length += bytes.len() as u64;
        self.newest += calls.iter().map(|call| call.keys.len() as u64).sum::<u64>();
        Ok(())
    }

    /// Removes the segments before one. Those that can't be removed now go with the next ones: no record is refused for it.
    fn remove_before(&self, oldest: u64) {
        let all = segments(&self.dir).unwrap_or_default();
        for after in all.into_iter().filter(|after| *after < oldest) {
            if std::fs::remove_file(segment(&self.dir, after)).is_err() {
                // Danger: with a later one gone and this one left there would be a gap.
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
