use super::extract_credential;
use hyper::{HeaderMap, header::HeaderValue};

const KEY: &str = "swk_0123_4567";

fn extract(name: &'static str, value: &str, path: &str) -> (Option<String>, HeaderMap, String) {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(value).expect("the header value should be valid");
    headers.insert(name, value);
    headers.insert("accept", HeaderValue::from_static("*/*"));
    let mut path = path.to_owned();
    let credential =
        extract_credential(&mut headers, &mut path).expect("the credential should be extracted");
    (credential, headers, path)
}

macro_rules! cases {
    ($($name:ident: $header:expr, $value:expr, $path:expr => $credential:expr, $rest:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (credential, headers, path) = extract($header, $value, $path);
                assert_eq!(credential.as_deref(), $credential);
                assert_eq!(path, $rest);
                assert_eq!(headers.len(), 1, "{headers:?}");
            }
        )*
    };
}

cases! {
    a_bearer_token: "authorization", "Bearer swk_0123_4567", "/a" => Some(KEY), "/a";
    a_bearer_token_in_lower_case: "authorization", "bearer swk_0123_4567", "/a" => Some(KEY), "/a";
    another_scheme: "authorization", "Basic c3dr", "/a" => Some(""), "/a";
    an_api_key: "x-api-key", "swk_0123_4567", "/a" => Some(KEY), "/a";
    a_key_in_any_header: "x-other", "key=swk_0123_4567", "/a" => None, "/a";
    a_query_parameter: "api-key", "", "/a?b=1&api_key=swk_0123_4567&c=2" => Some(""), "/a?b=1&c=2";
    a_key_in_any_query_parameter: "x-api-key", "swk_0123_4567", "/a?t=swk_0123_4567" => Some(KEY), "/a";
    a_percent_encoded_query_parameter: "x-api-key", "swk_0123_4567", "/a?t=s%77k_0123_4567" => Some(KEY), "/a";
}

#[test]
fn a_key_only_in_the_query_is_extracted() {
    let mut path = "/a?api_key=swk%5F0123%5F4567".to_owned();
    let credential = extract_credential(&mut HeaderMap::new(), &mut path)
        .expect("the credential should be extracted");
    assert_eq!(credential.as_deref(), Some(KEY));
    assert_eq!(path, "/a");
}

#[test]
fn a_key_in_the_path_is_refused() {
    let mut path = "/a/swk_0123_4567".to_owned();
    assert!(extract_credential(&mut HeaderMap::new(), &mut path).is_err());
}
