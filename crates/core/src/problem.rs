//! Validation problems of documents that users write.

use std::fmt;

/// A problem and the path of the field that has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field in the document, for example `services[0].size.memory`.
    pub path: String,
    /// What is wrong with the value, and which values are valid.
    pub message: String,
}

/// All problems of one document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Problems {
    /// The problems, in the order in which they were found.
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

    /// Adds a problem unless `ok` is true.
    pub fn require(&mut self, ok: bool, path: impl Into<String>, message: impl Into<String>) {
        if !ok {
            self.add(path, message);
        }
    }

    /// Returns `value` if there are no problems, otherwise the problems as the error.
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
