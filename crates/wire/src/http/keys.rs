//! Named keys of operators and peers, from a file with one `name:secret` per line.
//!
//! Empty lines and lines that begin with `#` are ignored. Secrets are compared in constant time and
//! appear neither in logs nor in findings.

#[cfg(test)]
mod tests;

use pimentovalve_core::finding::List;
use pimentovalve_core::name::Name;
use std::fmt;
use std::path::Path;
use subtle::{Choice, ConstantTimeEq};

/// Minimum length of a secret.
pub const MIN_SECRET_BYTES: usize = 16;

/// A key that authenticates an operator or a peer. Its `Debug` output omits the secret.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    name: Name,
    secret: String,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key").field("name", &self.name).finish_non_exhaustive()
    }
}

impl Key {
    /// Returns the name, which identifies the operator or peer.
    pub const fn name(&self) -> &Name {
        &self.name
    }

    /// Returns `name:secret`, the token of the `Authorization` header.
    pub fn bearer(&self) -> String {
        format!("{}:{}", self.name, self.secret)
    }
}

impl TryFrom<&str> for Key {
    type Error = List;

    fn try_from(line: &str) -> Result<Self, List> {
        let Some((name, secret)) = line.split_once(':') else {
            return Err(List::one("", "must be a name, a colon and a secret"));
        };
        let mut findings = List::new();
        let name = findings.take("name", Name::try_from(name));
        if secret.len() < MIN_SECRET_BYTES {
            findings.note("secret", format!("must have at least {MIN_SECRET_BYTES} bytes"));
        }
        if !secret.bytes().all(|byte| byte.is_ascii_graphic()) {
            findings.note("secret", "must be printable ASCII without spaces");
        }
        match name {
            Some(name) if findings.is_empty() => Ok(Self { name, secret: secret.into() }),
            _ => Err(findings),
        }
    }
}

/// A set of accepted keys. An empty set accepts none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keys {
    /// Sorted by name.
    keys: Vec<Key>,
}

impl Keys {
    /// Returns the empty set, which accepts no key.
    pub const fn new() -> Self {
        Self { keys: Vec::new() }
    }

    /// Reads a key file.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the file, each with its line, or that it cannot be read or contains
    /// no key.
    pub fn read(path: &Path) -> Result<Self, List> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| List::one("file", format!("{} cannot be read: {e}", path.display())))?;
        Self::try_from(text.as_str())
    }

    /// Returns the key if there is exactly one.
    pub fn only(&self) -> Option<&Key> {
        match self.keys.as_slice() {
            [key] => Some(key),
            _ => None,
        }
    }

    /// Returns the name of the key that matches `name:secret`, or `None` if none does. All keys are
    /// compared, so that the duration does not reveal which names exist.
    pub fn verify(&self, bearer: Option<&str>) -> Option<&Name> {
        let (name, secret) = bearer?.split_once(':')?;
        let mut found = None;
        for key in &self.keys {
            let same_name: Choice = key.name.as_str().as_bytes().ct_eq(name.as_bytes());
            let same_secret = key.secret.as_bytes().ct_eq(secret.as_bytes());
            if bool::from(same_name & same_secret) {
                found = Some(&key.name);
            }
        }
        found
    }
}

impl TryFrom<&str> for Keys {
    type Error = List;

    fn try_from(text: &str) -> Result<Self, List> {
        let mut findings = List::new();
        let mut keys: Vec<Key> = Vec::new();
        for (i, line) in text.lines().map(str::trim).enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let place = format!("line {}", i + 1);
            let Some(key) = findings.take(&place, Key::try_from(line)) else { continue };
            match keys.binary_search_by(|other| other.name.cmp(&key.name)) {
                Ok(_) => findings.note(place, format!("duplicate name {}", key.name)),
                Err(gap) => keys.insert(gap, key),
            }
        }
        if keys.is_empty() && findings.is_empty() {
            findings.note("file", "contains no key");
        }
        findings.into_result().map(|()| Self { keys })
    }
}
