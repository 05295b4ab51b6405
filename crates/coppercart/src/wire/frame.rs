//! Reads whole frames from a stream.

use std::io::{self, Read};

use super::codes::HEADER;

/// Reads one frame into `buf`. Returns `Ok(false)` if the input ended before a frame began.
pub fn read_frame(input: &mut impl Read, buf: &mut Vec<u8>) -> io::Result<bool> {
    buf.clear();
    input.by_ref().take(4).read_to_end(buf)?;
    if buf.is_empty() {
        return Ok(false);
    }
    let malformed = |message: String| io::Error::new(io::ErrorKind::InvalidData, message);
    let Ok(len) = <[u8; 4]>::try_from(buf.as_slice()) else {
        return Err(malformed(format!(
            "malformed frame: input ends within the length at byte {}",
            buf.len()
        )));
    };
    let len = u32::from_le_bytes(len) as usize;
    if len < HEADER {
        return Err(malformed(format!(
            "malformed frame: length {len} is below a header's at byte 0"
        )));
    }
    // The buffer grows as bytes arrive: a false length allocates no memory.
    input.by_ref().take(len as u64 - 4).read_to_end(buf)?;
    if buf.len() < len {
        return Err(malformed(format!(
            "malformed frame: {len} bytes announced, input ends at byte {}",
            buf.len()
        )));
    }
    Ok(true)
}
