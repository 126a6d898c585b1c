//! MessagePack encoding with a leading format byte.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Format byte of every message of this release.
pub const FORMAT: u8 = 1;

/// Most levels of nesting, which the decoder follows by recursion.
const MAX_LEVELS: usize = 64;

/// Content type of encoded messages.
pub const CONTENT_TYPE: &str = "application/vnd.gorsespur.v1+msgpack";

/// Why a message can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The message is empty.
    #[snafu(display("message is empty"))]
    Empty,
    /// The message has another format.
    #[snafu(display("message has format {found}, not {FORMAT}"))]
    Format {
        /// The format found.
        found: u8,
    },
    /// The message is malformed.
    #[snafu(display("message is malformed"))]
    Decode {
        /// Error from the library.
        source: rmp_serde::decode::Error,
    },
    /// The value can't be encoded.
    #[snafu(display("value can't be encoded"))]
    Encode {
        /// Error from the library.
        source: rmp_serde::encode::Error,
    },
}

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    let mut out = vec![FORMAT];
    rmp_serde::encode::write(&mut out, value).context(EncodeSnafu)?;
    Ok(out)
}

/// Decodes a value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (&found, rest) = bytes.split_first().context(EmptySnafu)?;
    ensure!(found == FORMAT, FormatSnafu { found });
    let mut decoder = rmp_serde::Deserializer::from_read_ref(rest);
    decoder.set_max_depth(MAX_LEVELS);
    T::deserialize(&mut decoder).context(DecodeSnafu)
}
