//! Tests that all findings in a text are reported together with their places.

use sequoiawing_settings::parse;
use serde::Deserialize;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Sample {
    host: String,
    queue: u32,
    peers: Vec<Peer>,
}

#[derive(Debug, Deserialize)]
struct Peer {
    #[expect(dead_code, reason = "only deserialized")]
    address: std::net::SocketAddr,
}

/// Generates one test for each text and its expected findings.
macro_rules! findings {
    ($($name:ident: $text:expr => $findings:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let findings = parse::<Sample>("f.json", $text).expect_err("the text is invalid");
                assert_eq!(findings.to_string(), $findings);
            }
        )*
    };
}

findings! {
    a_syntax_error: "{ \"host\": }" => "f.json: host: expected value at line 1 column 11";
    an_unknown_field: r#"{ "hots": 1, "qeue": 2 }"# =>
        "f.json: hots: unknown field\nf.json: qeue: unknown field";
    a_duplicate_field: r#"{ "queue": 1, "queue": 2 }"# =>
        "f.json: duplicate field `queue` at line 1 column 21";
    two_wrong_types_and_an_unknown_field: r#"{ "host": 1, "queue": "many", "hots": 1 }"# =>
        "f.json: host: invalid type: integer `1`, expected a string at line 1 column 11\n\
         f.json: queue: invalid type: string \"many\", expected u32\n\
         f.json: hots: unknown field";
    a_missing_field_in_a_list: r#"{ "peers": [{}], "queue": -1 }"# =>
        "f.json: peers[0]: missing field `address` at line 1 column 14\n\
         f.json: queue: invalid value: integer `-1`, expected u32";
    text_after_the_end: "{} {}" => "f.json: trailing characters at line 1 column 4";
}
