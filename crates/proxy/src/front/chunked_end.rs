//! Finds the end of a chunked body (RFC 9112, 7.1) in its bytes. Whether the chunks are well-formed is checked
//! by hyper, which decodes them.

/// The length of the line break after the data of a chunk.
const LINE_BREAK_BYTES: u64 = 2;

/// How far a chunked body has been followed.
#[derive(Clone, Debug, PartialEq)]
enum Position {
    /// In the line with the size of a chunk. The size ends where an extension or the line break begins.
    Size { size: u64, ended: bool },
    /// In the data of a chunk, with this many bytes to come, the line break included.
    Data(u64),
    /// In a line of the trailer, which an empty line ends.
    Trailer { is_empty: bool },
    /// Behind the last byte.
    End,
}

/// Follows a chunked body to its end.
#[derive(Clone, Debug)]
pub struct ChunkedEnd(Position);

impl Default for ChunkedEnd {
    fn default() -> Self {
        ChunkedEnd(Position::Size { size: 0, ended: false })
    }
}

impl ChunkedEnd {
    /// Whether the last byte has been passed.
    pub fn is_reached(&self) -> bool {
        self.0 == Position::End
    }

    /// Passes the next bytes of the body.
    pub fn advance(&mut self, mut bytes: &[u8]) {
        while let Some((first, rest)) = bytes.split_first() {
            bytes = rest;
            self.0 = match self.0 {
                Position::Data(left) => {
                    let passed = left.min(1 + rest.len() as u64);
                    bytes = &rest[passed as usize - 1..];
                    if passed == left {
                        Position::Size { size: 0, ended: false }
                    } else {
                        Position::Data(left - passed)
                    }
                }
                Position::Size { size, ended } => after_size_byte(size, ended, *first),
                Position::Trailer { is_empty: true } if *first == b'\n' => Position::End,
                Position::Trailer { is_empty } => {
                    Position::Trailer { is_empty: *first == b'\n' || is_empty && *first == b'\r' }
                }
                Position::End => return,
            };
        }
    }
}

/// Returns the position after a byte of the line with the size of a chunk.
fn after_size_byte(size: u64, ended: bool, byte: u8) -> Position {
    match (char::from(byte).to_digit(16), byte) {
        (_, b'\n') if size == 0 => Position::Trailer { is_empty: true },
        (_, b'\n') => Position::Data(size.saturating_add(LINE_BREAK_BYTES)),
        (Some(digit), _) if !ended => {
            Position::Size { size: size.saturating_mul(16).saturating_add(u64::from(digit)), ended }
        }
        _ => Position::Size { size, ended: true },
    }
}

#[cfg(test)]
mod tests;
