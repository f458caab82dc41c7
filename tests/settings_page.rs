//! Checks docs/SETTINGS.md against the settings in the code.
//!
//! The tables of the page are generated from the doc comments and defaults of the
//! settings. `UPDATE_PAGES=1 cargo test --test settings_page` updates them.

use sequoiawing::{
    controller::ControllerSettings,
    ctl::Deployment,
    gateway::GatewaySettings,
    router::RouterSettings,
    standin::{EngineSettings, LoadSettings, ServiceSettings},
    tables::{Customer, Model, Pool, Route, Store},
};
use serde::Serialize;
use serde_json::Value;
use std::fs;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/SETTINGS.md");

/// One table of the page.
struct Section {
    name: &'static str,
    source: &'static str,
    defaults: Option<Value>,
}

macro_rules! sections {
    ($($name:ident $(= $defaults:expr)?, $source:expr;)*) => {
        [$(Section {
            name: stringify!($name),
            source: include_str!($source),
            defaults: None$(.or(Some(value(&$defaults))))?,
        }),*]
    };
}

fn sections() -> [Section; 15] {
    sections! {
        RouterSettings = RouterSettings::default(), "../crates/sequoiawing_router/src/settings.rs";
        PeerSettings, "../crates/sequoiawing_router/src/settings.rs";
        Translation, "../crates/sequoiawing_link/src/translation.rs";
        ControllerSettings = ControllerSettings::default(),
            "../crates/sequoiawing_controller/src/settings.rs";
        GatewaySettings = GatewaySettings::default(),
            "../crates/sequoiawing_gateway/src/settings.rs";
        Deployment = Deployment::default(), "../crates/sequoiawing_ctl/src/deployment.rs";
        Host, "../crates/sequoiawing_ctl/src/deployment.rs";
        Customer = Customer::default(), "../crates/sequoiawing_tables/src/customer.rs";
        Pool = Pool::default(), "../crates/sequoiawing_tables/src/pool.rs";
        Model = Model::default(), "../crates/sequoiawing_tables/src/pool.rs";
        Route = Route::default(), "../crates/sequoiawing_tables/src/route.rs";
        Store = Store::default(), "../crates/sequoiawing_tables/src/store.rs";
        EngineSettings = EngineSettings::default(),
            "../crates/sequoiawing_standin/src/settings.rs";
        ServiceSettings = ServiceSettings::default(),
            "../crates/sequoiawing_standin/src/settings.rs";
        LoadSettings = LoadSettings::default(), "../crates/sequoiawing_standin/src/load.rs";
    }
}

fn value<S>(settings: &S) -> Value
where
    S: Serialize,
{
    serde_json::to_value(settings).expect("the settings can be written as JSON")
}

impl Section {
    /// Returns the fields of the struct with their doc comments.
    fn fields(&self) -> Vec<(String, String)> {
        let head = format!("pub struct {} {{\n", self.name);
        let (_, body) = self
            .source
            .split_once(&head)
            .expect("the source defines the struct");
        let (body, _) = body.split_once("\n}").expect("the struct ends");
        let mut doc = Vec::new();
        let mut fields = Vec::new();
        for line in body.lines().map(str::trim) {
            if let Some(text) = line.strip_prefix("///") {
                doc.push(text.trim());
            } else if let Some((name, _)) =
                line.strip_prefix("pub ").and_then(|l| l.split_once(':'))
            {
                fields.push((name.to_owned(), doc.join(" ")));
                doc.clear();
            }
        }
        fields
    }

    fn table(&self) -> String {
        let rows = self.fields().into_iter().map(|(field, doc)| {
            assert!(!doc.is_empty(), "{}.{field} is not documented", self.name);
            let default = self.defaults.as_ref().map(|d| d[&field].to_string());
            let default = default.map_or_else(|| "required".to_owned(), |d| format!("`{d}`"));
            format!("| `{field}` | {default} | {doc} |\n")
        });
        let rows: String = rows.collect();
        format!("| field | default | meaning |\n|---|---|---|\n{rows}")
    }

    /// Returns the page with this section's table replaced.
    fn write_into(&self, page: &str) -> String {
        let begin = format!("<!-- {}: begin -->\n", self.name);
        let end = format!("<!-- {}: end -->", self.name);
        let (head, rest) = page
            .split_once(&begin)
            .unwrap_or_else(|| panic!("the section '{}' is missing", self.name));
        let (_, tail) = rest.split_once(&end).expect("the section ends");
        format!("{head}{begin}{}{end}{tail}", self.table())
    }
}

#[test]
fn the_page_has_every_field_default_and_meaning() {
    let page = fs::read_to_string(PAGE).expect("the page is readable");
    let mut expected = page.clone();
    for section in sections() {
        expected = section.write_into(&expected);
    }
    if std::env::var_os("UPDATE_PAGES").is_some() {
        fs::write(PAGE, &expected).expect("the page is writable");
        return;
    }
    let is_current = page == expected;
    assert!(
        is_current,
        "docs/SETTINGS.md is out of date: run `UPDATE_PAGES=1 cargo test --test settings_page`"
    );
}

#[test]
fn every_field_of_the_code_is_a_field_of_the_struct() {
    for section in sections() {
        let Some(Value::Object(defaults)) = &section.defaults else {
            continue;
        };
        let fields: Vec<String> = section.fields().into_iter().map(|(name, _)| name).collect();
        for field in defaults.keys() {
            assert!(
                fields.contains(field),
                "{}.{field} is not a field of the struct",
                section.name
            );
        }
    }
}
