//! Tests the examples in the documentation for callers.

mod support;

use serde_json::{Value, json};
use std::fs;
use support::Deployment;

/// Returns the fenced code blocks of a page in the given language.
fn code_blocks(page: &str, language: &str) -> Vec<String> {
    let path = format!("{}/docs/{page}", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(path).expect("the page is readable");
    let fence = format!("```{language}\n");
    let found = text.split(&fence).skip(1);
    let ends = found.map(|rest| rest.split("```").next().unwrap_or_default().to_owned());
    ends.collect()
}

/// A `curl` command and the response that the page shows.
struct Curl {
    path: String,
    body: String,
    response: String,
}

impl Curl {
    /// Parses a console block with one command.
    fn parse(block: &str) -> Self {
        let end = block
            .match_indices('\n')
            .find(|(at, _)| !block[..*at].ends_with('\\'));
        let (command, response) = block.split_at(end.expect("the command ends").0 + 1);
        let url = command
            .split("http://")
            .nth(1)
            .expect("the command has a URL");
        let (_, path) = url.split_once('/').expect("the URL has a path");
        let path = path.split_whitespace().next().unwrap_or_default();
        let body = command
            .split("-d '")
            .nth(1)
            .and_then(|b| b.split('\'').next());
        assert!(
            command.contains("-H 'Authorization: Bearer swk_"),
            "{command}"
        );
        Self {
            path: format!("/{path}"),
            body: body.expect("the command has a body").to_owned(),
            response: response.to_owned(),
        }
    }
}

#[test]
fn the_callers_examples_are_answered_as_shown() {
    let deployment = Deployment::start("documented-callers");
    let key = deployment.grant_key("daily");
    let examples = code_blocks("CALLERS.md", "console");
    assert!(!examples.is_empty(), "the page has examples");
    for example in examples {
        let curl = Curl::parse(&example);
        let response = deployment.post(0, &curl.path, &key, &curl.body);
        assert_eq!(response.status, 200, "{example}: {}", response.body);
        for event in curl.response.lines().filter(|l| !l.is_empty()) {
            let shown = event.strip_prefix("data: ").expect("the page shows events");
            let expected: Option<Value> = serde_json::from_str(shown).ok();
            let sent = response
                .body
                .lines()
                .filter_map(|l| l.strip_prefix("data: "));
            let mut same = sent.filter(|s| match &expected {
                Some(value) => serde_json::from_str::<Value>(s).ok().as_ref() == Some(value),
                None => *s == shown,
            });
            assert!(same.next().is_some(), "{event} is not in {}", response.body);
        }
    }
}

/// Returns the paths of all fields, at any depth.
fn fields(value: &Value) -> Vec<String> {
    let Value::Object(object) = value else {
        return Vec::new();
    };
    let nested = object.iter().flat_map(|(name, value)| {
        let inner = fields(value).into_iter();
        std::iter::once(name.clone()).chain(inner.map(move |f| format!("{name}.{f}")))
    });
    nested.collect()
}

#[test]
fn the_refusals_have_the_fields_that_are_shown() {
    let deployment = Deployment::start("documented-refusals");
    let mut tables = support::layout::tables(1);
    tables["customers"] = json!([{ "name": "daily", "rate": 1, "burst": 20 }]);
    deployment.write("tables.json", &tables);
    deployment.ctl(&["apply", "tables.json"]);
    let key = deployment.grant_key("daily");
    let examples = code_blocks("CALLERS.md", "json");
    assert!(!examples.is_empty(), "the page has examples");
    let shown: Value = serde_json::from_str(&examples[0]).expect("the text is JSON");
    assert_eq!(shown["error"]["code"], "rate_limited");
    let refused = support::wait::wait("a refusal", || {
        let response = deployment.complete(&key, "caption", 10);
        (response.status == 429)
            .then_some(())
            .ok_or(json!(response.body))?;
        Ok(response)
    });
    let refusal: Value = serde_json::from_str(&refused.body).expect("the text is JSON");
    assert_eq!(fields(&refusal), fields(&shown), "{refusal}");
    for field in ["code", "message", "ran"] {
        assert_eq!(refusal["error"][field], shown["error"][field], "{refusal}");
    }
    assert!(refused.header("retry-after").is_some(), "{}", refused.head);
}
