use serde::Serialize;
use serde_json::Value;
use std::fmt;

/// A field that a change sets, adds or removes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// The path of the field, such as `customers.daily.rate`.
    pub place: String,
    /// The value before the change; `None` if the field is added.
    pub old: Option<Value>,
    /// The value after the change; `None` if the field is removed.
    pub new: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = &self.place;
        let old = self.old.as_ref().map(abbreviate);
        let new = self.new.as_ref().map(abbreviate);
        match (old, new) {
            (Some(old), Some(new)) => write!(f, "~ {place}: {old} -> {new}"),
            (None, Some(new)) => write!(f, "+ {place}: {new}"),
            (Some(old), None) => write!(f, "- {place}: {old}"),
            (None, None) => write!(f, "  {place}"),
        }
    }
}

/// The maximum length of a value in text output, in characters.
const MAX_VALUE_CHARS: usize = 120;

/// Formats a value for text output; long values, such as whole pools, are cut off,
/// since they are easier to read in the table file.
fn abbreviate(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_VALUE_CHARS) {
        None => text,
        Some((end, _)) => format!("{}…", &text[..end]),
    }
}

/// Compares two values field by field.
///
/// List entries that have a name are matched by name; other list entries are
/// compared as a set.
pub fn diff(place: &str, old: Option<&Value>, new: Option<&Value>) -> Vec<Difference> {
    let mut diffs = Vec::new();
    compare(place, old, new, &mut diffs);
    diffs
}

fn compare(place: &str, old: Option<&Value>, new: Option<&Value>, diffs: &mut Vec<Difference>) {
    match (old, new) {
        (Some(old), Some(new)) if old == new => {}
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let keys = old
                .keys()
                .chain(new.keys().filter(|k| !old.contains_key(*k)));
            for key in keys {
                compare(&join(place, key), old.get(key), new.get(key), diffs);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) => compare_lists(place, old, new, diffs),
        _ => diffs.push(Difference {
            place: place.to_owned(),
            old: old.cloned(),
            new: new.cloned(),
        }),
    }
}

fn compare_lists(place: &str, old: &[Value], new: &[Value], diffs: &mut Vec<Difference>) {
    for value in old {
        match name(value) {
            Some(key) => compare(&join(place, key), Some(value), find_named(new, key), diffs),
            None if !new.contains(value) => compare(place, Some(value), None, diffs),
            None => {}
        }
    }
    for value in new {
        match name(value) {
            Some(key) if find_named(old, key).is_none() => {
                compare(&join(place, key), None, Some(value), diffs);
            }
            None if !old.contains(value) => compare(place, None, Some(value), diffs),
            _ => {}
        }
    }
}

fn name(value: &Value) -> Option<&str> {
    value.get("name").and_then(Value::as_str)
}

fn find_named<'v>(list: &'v [Value], key: &str) -> Option<&'v Value> {
    list.iter().find(|v| name(v) == Some(key))
}

fn join(place: &str, key: &str) -> String {
    if place.is_empty() {
        key.to_owned()
    } else {
        format!("{place}.{key}")
    }
}
