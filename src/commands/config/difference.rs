//! Text diff of two versions of the configuration.

use pimentovalve_core::contract::configuration::Configuration;
use pimentovalve_core::name::Name;
use serde::Serialize;

/// Returns one line for each kind, team or service that was added (`+`), removed (`-`) or changed
/// (`~`), and for changed shares or weights. The lists of both versions are sorted by name.
pub(super) fn lines(before: &Configuration, after: &Configuration) -> Vec<String> {
    let mut lines = Vec::new();
    compare("kind", &before.kinds, &after.kinds, |k| &k.name, &mut lines);
    compare("team", &before.teams, &after.teams, |t| &t.name, &mut lines);
    compare("service", &before.services, &after.services, |s| &s.name, &mut lines);
    if before.shares != after.shares {
        lines.push(format!("~ shares {} -> {}", json(&before.shares), json(&after.shares)));
    }
    if before.weights != after.weights {
        lines.push(format!("~ weights {} -> {}", json(&before.weights), json(&after.weights)));
    }
    lines
}

fn compare<T: Serialize + PartialEq>(
    section: &str,
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &Name,
    lines: &mut Vec<String>,
) {
    let find =
        |items: &'_ [T], wanted: &Name| items.binary_search_by(|item| name(item).cmp(wanted)).ok();
    for item in before {
        if find(after, name(item)).is_none() {
            lines.push(format!("- {section} {}", name(item)));
        }
    }
    for item in after {
        match find(before, name(item)).map(|i| &before[i]) {
            None => lines.push(format!("+ {section} {}", json(item))),
            Some(old) if old != item => {
                lines.push(format!("~ {section} {} -> {}", json(old), json(item)));
            }
            Some(_) => {}
        }
    }
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
