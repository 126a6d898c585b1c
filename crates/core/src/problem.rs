//! Problems found while checking what a user wrote.

use std::fmt;

/// One problem and the path of the field it concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path in the document, for example `services[0].size.memory`.
    pub path: String,
    /// What is wrong with the value, and what would be right.
    pub message: String,
}

/// All the problems of one document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Problems {
    /// The problems in the order in which they were found.
    pub items: Vec<Problem>,
}

impl Problems {
    /// Adds a problem.
    pub fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.items.push(Problem {
            path: path.into(),
            message: message.into(),
        });
    }

    /// Adds a problem unless `ok` holds.
    pub fn require(&mut self, ok: bool, path: impl Into<String>, message: impl Into<String>) {
        if !ok {
            self.add(path, message);
        }
    }

    /// Returns `value` if there is no problem.
    pub fn into_result<T>(self, value: T) -> Result<T, Problems> {
        match self.items.is_empty() {
            true => Ok(value),
            false => Err(self),
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, p) in self.items.iter().enumerate() {
            if i > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{}: {}", p.path, p.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
