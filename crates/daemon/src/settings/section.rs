//! One section of a settings file, read key by key so that every mistake is found, not only the
//! first.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_core::name::Name;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A value with the place where it stands.
#[derive(Clone, Copy, Debug)]
struct Found<'a> {
    value: &'a DeValue<'a>,
    /// Position of the value in the text, in bytes.
    at: usize,
}

/// A section that remembers which keys were asked for, so that the others can be told.
#[derive(Debug)]
pub(super) struct Section<'a> {
    text: &'a str,
    /// Path of the section with a dot at its end, empty for the root.
    path: String,
    /// `None` when the section is absent or isn't a table.
    table: Option<&'a DeTable<'a>>,
    asked: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Returns the root of a parsed file.
    pub(super) const fn root(text: &'a str, table: &'a DeTable<'a>) -> Self {
        Self { text, path: String::new(), table: Some(table), asked: Vec::new() }
    }

    /// Returns a section within this one. An absent one is read as if it were empty.
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
        Self { text: self.text, path, table, asked: Vec::new() }
    }

    /// Returns text, `None` when the key is absent.
    pub(super) fn text(&mut self, key: &'static str, findings: &mut List) -> Option<&'a str> {
        let found = self.find(key)?;
        match found.value {
            DeValue::String(text) => Some(text),
            _ => {
                self.mismatch(key, found, "text in quotation marks", findings);
                None
            }
        }
    }

    /// Returns a name that must be there.
    pub(super) fn name(&mut self, key: &'static str, findings: &mut List) -> Option<Name> {
        self.require(key, findings);
        let text = self.text(key, findings)?;
        findings.take(&self.place(key), Name::try_from(text))
    }

    /// Returns an IP number and a port that must be there.
    pub(super) fn address(&mut self, key: &'static str, findings: &mut List) -> Option<SocketAddr> {
        self.require(key, findings);
        let text = self.text(key, findings)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let message =
                format!("must be an IP number and a port like 10.1.0.7:7100, not {text:?}");
            findings.note(self.place(key), message);
        }
        parsed
    }

    /// Returns a whole number within a range, `default` when the key is absent.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        range: &RangeInclusive<u64>,
        default: u64,
        findings: &mut List,
    ) -> u64 {
        let Some(found) = self.find(key) else { return default };
        let DeValue::Integer(integer) = found.value else {
            self.mismatch(key, found, "a whole number", findings);
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

    /// Returns a time in milliseconds, `default` when the key is absent.
    pub(super) fn millis(
        &mut self,
        key: &'static str,
        range: &RangeInclusive<u64>,
        default: Millis,
        findings: &mut List,
    ) -> Millis {
        Millis(self.number(key, range, default.get(), findings))
    }

    /// Notes the keys that were never asked for.
    pub(super) fn finish(self, findings: &mut List) {
        let Some(table) = self.table else { return };
        for (key, _) in table {
            let name: &str = key.get_ref();
            if !self.asked.contains(&name) {
                let line = line(self.text, key.span().start);
                let place = format!("{}{name} (line {line})", self.path);
                let known = self.asked.join(", ");
                findings.note(place, format!("is not a known key; known here: {known}"));
            }
        }
    }

    /// Returns the place of a key: its path, and its line when it is in the file.
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
        self.asked.push(key);
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

/// Returns the line, from 1, of a position in the text.
pub(super) fn line(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|&byte| byte == b'\n').count() + 1
}
