use sequoiawing_types::Findings;
use serde::de::{DeserializeOwned, Deserializer};
use serde_json::Value;
use serde_path_to_error::{Path, Segment, Track};

/// The maximum number of further errors searched for in one text.
const MAX_ERRORS: usize = 64;

/// Parses JSON text and collects all errors and unknown fields.
///
/// # Errors
///
/// Returns one finding, with its path, for each syntax error, type error and
/// unknown field.
pub fn parse<S>(place: &str, text: &str) -> Result<S, Findings>
where
    S: DeserializeOwned,
{
    let (value, findings) = parse_all(place, text);
    findings.into_result()?;
    value.ok_or_else(Findings::default)
}

/// Parses JSON text and returns all findings, with the value if it could be
/// deserialized.
pub(crate) fn parse_all<S>(place: &str, text: &str) -> (Option<S>, Findings)
where
    S: DeserializeOwned,
{
    let mut json = serde_json::Deserializer::from_str(text);
    let mut findings = Findings::default();
    match deserialize_once::<S, _>(place, &mut json, &mut findings) {
        Ok(value) => {
            if let Err(error) = json.end() {
                findings.push(place, error.to_string());
            }
            (Some(value), findings)
        }
        Err(path) => {
            find_further_errors::<S>(place, text, &path, &mut findings);
            (None, findings)
        }
    }
}

/// Finds the errors after the first one: repeatedly removes the faulty field and
/// deserializes the rest.
fn find_further_errors<S>(place: &str, text: &str, first: &Path, findings: &mut Findings)
where
    S: DeserializeOwned,
{
    let Ok(mut value) = serde_json::from_str::<Value>(text) else {
        return;
    };
    let mut is_removed = remove_field(&mut value, first);
    for _ in 0..MAX_ERRORS {
        if !is_removed {
            return;
        }
        let mut found = Findings::default();
        let result = deserialize_once::<S, _>(place, &value, &mut found);
        findings.extend(found);
        match result {
            Ok(_) => return,
            Err(path) => is_removed = remove_field(&mut value, &path),
        }
    }
}

/// Deserializes once. On success, adds the unknown fields to the findings. On
/// failure, adds the error and returns its path.
fn deserialize_once<'de, S, D>(place: &str, from: D, findings: &mut Findings) -> Result<S, Path>
where
    S: DeserializeOwned,
    D: Deserializer<'de>,
    D::Error: ToString,
{
    let mut track = Track::new();
    let mut unknown = Findings::default();
    let tracked = serde_path_to_error::Deserializer::new(from, &mut track);
    let mut record_unknown = |path: serde_ignored::Path<'_>| {
        unknown.push(format!("{place}: {path}"), "unknown field");
    };
    let parsed = S::deserialize(serde_ignored::Deserializer::new(
        tracked,
        &mut record_unknown,
    ));
    match parsed {
        Ok(value) => {
            findings.extend(unknown);
            Ok(value)
        }
        Err(error) => {
            let path = track.path();
            let is_at_root = path.iter().next().is_none();
            let place = if is_at_root {
                place.to_owned()
            } else {
                format!("{place}: {path}")
            };
            findings.push(place, error.to_string());
            Err(path)
        }
    }
}

/// Removes the innermost object field on the path of an error. Returns `false` if
/// nothing was removed.
fn remove_field(value: &mut Value, path: &Path) -> bool {
    let segments: Vec<&Segment> = path.iter().collect();
    let is_field = |s: &&Segment| matches!(s, Segment::Map { .. });
    let Some(last) = segments.iter().rposition(is_field) else {
        return false;
    };
    let Segment::Map { key } = segments[last] else {
        return false;
    };
    let mut parent = value;
    for segment in &segments[..last] {
        let inner = match segment {
            Segment::Map { key } => parent.get_mut(key),
            Segment::Seq { index } => parent.get_mut(index),
            _ => return false,
        };
        let Some(inner) = inner else {
            return false;
        };
        parent = inner;
    }
    parent
        .as_object_mut()
        .is_some_and(|o| o.remove(key).is_some())
}
