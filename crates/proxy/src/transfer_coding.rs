//! How the `Transfer-Encoding` lines of a message frame its body (RFC 9112, 6.1). The proxy undoes `chunked`, and
//! no other coding: a body that has another one beside it would be taken for what it stands for.

/// The coding that delimits a body. It has no parameters.
const CHUNKED: &[u8] = b"chunked";

/// The transfer codings of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferCoding {
    /// The message has no `Transfer-Encoding`.
    None,
    /// `chunked` alone.
    Chunked,
    /// `chunked` over other codings: the end of the body is known, what it stands for is not.
    ChunkedOverOthers,
    /// Codings of which `chunked` is not the last, or not the last alone: the end of the body is unknown.
    Undelimited,
}

impl TransferCoding {
    /// Returns the transfer codings of a message with these `Transfer-Encoding` lines, in their order.
    pub fn of<'a>(lines: impl Iterator<Item = &'a [u8]>) -> Self {
        let mut has_lines = false;
        let (mut count, mut chunked) = (0, 0);
        // Recipients that look at the last element alone take an empty one for a coding of that name.
        let mut ends_with_chunked = false;
        for line in lines {
            has_lines = true;
            for coding in line.split(|byte| *byte == b',').map(<[u8]>::trim_ascii) {
                ends_with_chunked = coding.eq_ignore_ascii_case(CHUNKED);
                chunked += usize::from(ends_with_chunked);
                count += usize::from(!coding.is_empty());
            }
        }
        match (has_lines, ends_with_chunked && chunked == 1, count) {
            (false, ..) => TransferCoding::None,
            (_, true, 1) => TransferCoding::Chunked,
            (_, true, _) => TransferCoding::ChunkedOverOthers,
            (_, false, _) => TransferCoding::Undelimited,
        }
    }
}

#[cfg(test)]
mod tests;
