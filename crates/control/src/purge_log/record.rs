//! The format of the log's files. A file consists of records, each with a length, a checksum and a payload.
//! The first record of a segment is its header, and each other one is a batch of requests.

use xxhash_rust::xxh3::xxh3_64;

const MAGIC: &[u8; 8] = b"ANPURGE1";
/// Size of the length at the start of a record; the checksum follows it.
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;
const KEY_BYTES: usize = 8;
/// Maximum length of a payload.
const MAX_RECORD_BYTES: usize = 16 << 20;

/// A publisher's request to purge objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PurgeRequest {
    /// The publisher's name.
    pub publisher: String,
    /// The publisher's own number of the request.
    pub sequence: u64,
    /// XXH3-64 of each object's key.
    pub keys: Vec<u64>,
}

/// Number of entries that requests add to the log.
pub fn entry_count(requests: &[PurgeRequest]) -> u64 {
    requests.iter().map(|request| request.keys.len() as u64).sum()
}

/// Why bytes can't be decoded as records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    #[error("a record is too long")]
    TooLong,
    #[error("a record's checksum does not match")]
    Checksum,
    #[error("it is not a segment of a log of purges")]
    Header,
    #[error("a record is not valid")]
    Payload,
}

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    pub epoch: u64,
    /// The number before the segment's first entry.
    pub after: u64,
}

fn encode_record(payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(xxh3_64(payload).to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// The payload of a record, and the bytes after the record.
type Split<'a> = (&'a [u8], &'a [u8]);

/// Splits off the first record and checks its checksum. The result is `None` if the bytes end before the
/// record does.
fn split_record(bytes: &[u8]) -> Result<Option<Split<'_>>, RecordError> {
    let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let Some((checksum, rest)) = rest.split_first_chunk::<CHECKSUM_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_RECORD_BYTES {
        return Err(RecordError::TooLong);
    }
    let Some((payload, rest)) = rest.split_at_checked(length) else { return Ok(None) };
    match (xxh3_64(payload) == u64::from_be_bytes(*checksum), rest.is_empty()) {
        (true, _) => Ok(Some((payload, rest))),
        // The last record was not written completely.
        (false, true) => Ok(None),
        (false, false) => Err(RecordError::Checksum),
    }
}

/// Encodes the header of a segment.
pub fn encode_header(header: SegmentHeader) -> Vec<u8> {
    let mut payload = MAGIC.to_vec();
    payload.extend(header.epoch.to_be_bytes());
    payload.extend(header.after.to_be_bytes());
    encode_record(&payload)
}

/// Encodes a batch of requests as one record.
pub fn encode_batch(requests: &[PurgeRequest]) -> Vec<u8> {
    let mut payload = Vec::new();
    for request in requests {
        payload.extend(request.sequence.to_be_bytes());
        payload.extend((request.publisher.len() as u32).to_be_bytes());
        payload.extend(request.publisher.as_bytes());
        payload.extend((request.keys.len() as u32).to_be_bytes());
        request.keys.iter().for_each(|key| payload.extend(key.to_be_bytes()));
    }
    encode_record(&payload)
}

fn read_u64(bytes: &mut &[u8]) -> Option<u64> {
    let (head, rest) = bytes.split_first_chunk::<8>()?;
    *bytes = rest;
    Some(u64::from_be_bytes(*head))
}

/// Reads a count, and returns the bytes of that many items of the given size.
fn read_items<'a>(bytes: &mut &'a [u8], item_bytes: usize) -> Option<&'a [u8]> {
    let (count, rest) = bytes.split_first_chunk::<4>()?;
    let length = (u32::from_be_bytes(*count) as usize).checked_mul(item_bytes)?;
    let (items, rest) = rest.split_at_checked(length)?;
    *bytes = rest;
    Some(items)
}

fn read_request(bytes: &mut &[u8]) -> Option<PurgeRequest> {
    let sequence = read_u64(bytes)?;
    let publisher = String::from_utf8(read_items(bytes, 1)?.to_vec()).ok()?;
    let mut keys = read_items(bytes, KEY_BYTES)?;
    let keys = std::iter::from_fn(|| read_u64(&mut keys)).collect();
    Some(PurgeRequest { publisher, sequence, keys })
}

/// A decoded segment.
pub struct DecodedSegment {
    pub header: SegmentHeader,
    pub requests: Vec<PurgeRequest>,
    /// Number of bytes at the end that are not a complete record.
    pub torn_bytes: usize,
}

/// Decodes a segment. The result is `None` if its header is incomplete.
pub fn decode_segment(bytes: &[u8]) -> Result<Option<DecodedSegment>, RecordError> {
    let Some((payload, mut rest)) = split_record(bytes)? else { return Ok(None) };
    let mut fields = payload.strip_prefix(MAGIC.as_slice()).ok_or(RecordError::Header)?;
    let numbers = read_u64(&mut fields).zip(read_u64(&mut fields));
    let (epoch, after) = numbers.ok_or(RecordError::Header)?;
    let mut requests = Vec::new();
    while let Some((mut payload, next)) = split_record(rest)? {
        while !payload.is_empty() {
            requests.push(read_request(&mut payload).ok_or(RecordError::Payload)?);
        }
        rest = next;
    }
    let header = SegmentHeader { epoch, after };
    Ok(Some(DecodedSegment { header, requests, torn_bytes: rest.len() }))
}
