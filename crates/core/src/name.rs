//! Validated names of machines, zones, teams, kinds of work and jobs.

use crate::finding::List;
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;

/// Maximum length of a name, in bytes.
pub const MAX_BYTES: usize = 64;

/// A name of 1 to [`MAX_BYTES`] bytes from the set `a-z A-Z 0-9 - _ . :`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

impl Name {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Name {
    type Error = List;

    fn try_from(raw: &str) -> Result<Self, List> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        if raw.is_empty() {
            return Err(List::one("", "a name must not be empty"));
        }
        if raw.len() > MAX_BYTES {
            return Err(List::one("", format!("a name has at most {MAX_BYTES} bytes")));
        }
        if let Some(c) = raw.chars().find(|&c| !allowed(c)) {
            return Err(List::one("", format!("a name must not contain {c:?}")));
        }
        Ok(Self(raw.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = List;

    fn try_from(raw: String) -> Result<Self, List> {
        Self::try_from(raw.as_str())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
