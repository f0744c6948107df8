//! Reads one section of a settings file key by key, so that all mistakes are reported, not only the
//! first one.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_core::name::Name;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A value with its position.
#[derive(Clone, Copy, Debug)]
struct Found<'a> {
    value: &'a DeValue<'a>,
    /// Byte offset of the value in the text.
    at: usize,
}

/// A section that tracks which keys were looked up, so that all others can be reported as unknown.
#[derive(Debug)]
pub(super) struct Section<'a> {
    text: &'a str,
    /// Path of the section with a trailing dot; empty for the root.
    path: String,
    /// `None` when the section is absent or is not a table.
    table: Option<&'a DeTable<'a>>,
    /// Keys that were looked up, which are all known keys.
    known: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Returns the root of a parsed file.
    pub(super) const fn root(text: &'a str, table: &'a DeTable<'a>) -> Self {
        Self { text, path: String::new(), table: Some(table), known: Vec::new() }
    }

    /// Returns a nested section. An absent section is treated as empty.
    pub(super) fn section(&mut self, key: &'static str, findings: &mut List) -> Self {
        let path = format!("{}{key}.", self.path);
        let table = match self.find(key) {
            None => None,
            Some(Found { value: DeValue::Table(table), .. }) => Some(table),
            Some(found) => {
                self.mismatch(key, found, "a table", findings);
                None
            }
        };
        Self { text: self.text, path, table, known: Vec::new() }
    }

    /// Returns a string, or `None` when the key is absent.
    pub(super) fn text(&mut self, key: &'static str, findings: &mut List) -> Option<&'a str> {
        let found = self.find(key)?;
        match found.value {
            DeValue::String(text) => Some(text),
            _ => {
                self.mismatch(key, found, "a string", findings);
                None
            }
        }
    }

    /// Returns a required name.
    pub(super) fn name(&mut self, key: &'static str, findings: &mut List) -> Option<Name> {
        self.require(key, findings);
        let text = self.text(key, findings)?;
        findings.take(&self.place(key), Name::try_from(text))
    }

    /// Returns a required socket address.
    pub(super) fn address(&mut self, key: &'static str, findings: &mut List) -> Option<SocketAddr> {
        self.require(key, findings);
        let text = self.text(key, findings)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let message =
                format!("must be an IP address and a port like 10.1.0.7:7100, not {text:?}");
            findings.note(self.place(key), message);
        }
        parsed
    }

    /// Returns an integer within a range, or `default` when the key is absent.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        range: &RangeInclusive<u64>,
        default: u64,
        findings: &mut List,
    ) -> u64 {
        let Some(found) = self.find(key) else { return default };
        let DeValue::Integer(integer) = found.value else {
            self.mismatch(key, found, "an integer", findings);
            return default;
        };
        let digits = integer.as_str();
        let parsed = i128::from_str_radix(digits, integer.radix()).ok();
        let number = parsed.and_then(|n| u64::try_from(n).ok());
        match number.filter(|n| range.contains(n)) {
            Some(number) => number,
            None => {
                findings.note(self.place(key), out_of(range, digits));
                default
            }
        }
    }

    /// Returns a duration in milliseconds, or `default` when the key is absent.
    pub(super) fn millis(
        &mut self,
        key: &'static str,
        range: &RangeInclusive<u64>,
        default: Millis,
        findings: &mut List,
    ) -> Millis {
        Millis(self.number(key, range, default.get(), findings))
    }

    /// Reports the keys of the section that were never looked up.
    pub(super) fn finish(self, findings: &mut List) {
        let Some(table) = self.table else { return };
        for (key, _) in table {
            let name: &str = key.get_ref();
            if !self.known.contains(&name) {
                let line = line(self.text, key.span().start);
                let place = format!("{}{name} (line {line})", self.path);
                let known = self.known.join(", ");
                findings.note(place, format!("is not a known key; known keys: {known}"));
            }
        }
    }

    /// Returns the path of a key, with its line if it is in the file.
    pub(super) fn place(&self, key: &str) -> String {
        let line = self.entry(key).map(|value| line(self.text, value.span().start));
        match line {
            Some(line) => format!("{}{key} (line {line})", self.path),
            None => format!("{}{key}", self.path),
        }
    }

    fn require(&self, key: &'static str, findings: &mut List) {
        if self.entry(key).is_none() {
            findings.note(self.place(key), "is missing");
        }
    }

    fn find(&mut self, key: &'static str) -> Option<Found<'a>> {
        self.known.push(key);
        self.entry(key).map(|value| Found { value: value.get_ref(), at: value.span().start })
    }

    fn entry(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        let table = self.table?;
        table.iter().find(|(k, _)| k.get_ref() == key).map(|(_, value)| value)
    }

    fn mismatch(&self, key: &str, found: Found<'_>, wanted: impl Display, findings: &mut List) {
        let place = format!("{}{key} (line {})", self.path, line(self.text, found.at));
        findings.note(place, format!("must be {wanted}, not {}", found.value.type_str()));
    }
}

fn out_of(range: &RangeInclusive<u64>, digits: &str) -> String {
    if *range.end() == u64::MAX {
        format!("must be at least {}, not {digits}", range.start())
    } else {
        format!("must be {} to {}, not {digits}", range.start(), range.end())
    }
}

/// Returns the line number, starting at 1, of a byte offset in the text.
pub(super) fn line(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|&byte| byte == b'\n').count() + 1
}
