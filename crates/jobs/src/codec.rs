//! Decodes the values of rows.
//!
//! Anything may write rows. The decoder recurses for each level of nesting, also in fields that are
//! skipped, so that the levels are bounded by what a thread's stack holds.

use std::io::Read;

use rmp_serde::{Deserializer, decode::Error};
use serde::{Deserialize, de::DeserializeOwned};

/// Most levels of nesting. The values of this program have fewer than ten.
const MAX_LEVELS: usize = 32;

/// Decodes a value from its MessagePack encoding; bytes that follow are ignored.
pub fn decode_row<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Error> {
    let mut decoder = Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MAX_LEVELS);
    T::deserialize(&mut decoder)
}

/// Decodes the next value, and leaves the reader behind it.
pub fn decode_next<T: DeserializeOwned>(reader: &mut impl Read) -> Result<T, Error> {
    let mut decoder = Deserializer::new(reader);
    decoder.set_max_depth(MAX_LEVELS);
    T::deserialize(&mut decoder)
}
