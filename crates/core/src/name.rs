//! Names as shared immutable strings.

use std::sync::Arc;

use snafu::{Snafu, ensure};

/// The name of an organisation, job, worker, zone or similar object.
pub type Name = Arc<str>;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The reason a text is not a valid name.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty or longer than [`MAX_NAME_BYTES`] bytes.
    #[snafu(display("has {len} bytes, not 1 to {MAX_NAME_BYTES}"))]
    Length {
        /// Length of the text in bytes.
        len: usize,
    },
    /// The text contains a character that is not allowed.
    #[snafu(display("character {found:?} is not a letter, digit, '.', '_' or '-'"))]
    Character {
        /// The first character that is not allowed.
        found: char,
    },
}

/// Checks that `text` consists of 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `.`, `_` or `-`.
pub fn check_name(text: &str) -> Result<(), NameError> {
    let len = text.len();
    ensure!((1..=MAX_NAME_BYTES).contains(&len), LengthSnafu { len });
    for found in text.chars() {
        let ok = found.is_ascii_alphanumeric() || matches!(found, '.' | '_' | '-');
        ensure!(ok, CharacterSnafu { found });
    }
    Ok(())
}
