//! Names as shared immutable strings.

use std::sync::Arc;

use snafu::{Snafu, ensure};

/// A name of an organisation, job, worker, zone and the like.
pub type Name = Arc<str>;

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text can't be a name.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty or longer than [`MAX_NAME`] bytes.
    #[snafu(display("has {len} bytes, not 1 to {MAX_NAME_BYTES}"))]
    Length {
        /// Its length in bytes.
        len: usize,
    },
    /// A character is not allowed.
    #[snafu(display("character {found:?} is not a letter, digit, '.', '_' or '-'"))]
    Character {
        /// The first such character.
        found: char,
    },
}

/// Checks that `text` is 1 to 128 ASCII letters, digits, `.`, `_` or `-`.
pub fn check_name(text: &str) -> Result<(), NameError> {
    let len = text.len();
    ensure!((1..=MAX_NAME_BYTES).contains(&len), LengthSnafu { len });
    for found in text.chars() {
        let ok = found.is_ascii_alphanumeric() || matches!(found, '.' | '_' | '-');
        ensure!(ok, CharacterSnafu { found });
    }
    Ok(())
}
