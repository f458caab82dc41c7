use super::{RELEASE, hello, negotiate_format, release};
use crate::Format;

macro_rules! cases {
    ($($name:ident: $ours:expr, $theirs:expr => $format:expr;)*) => {$(
        #[test]
        fn $name() {
            let (ours, theirs) = (hello(release($ours)), hello(release($theirs)));
            assert_eq!(negotiate_format(&ours, &theirs), $format);
            assert_eq!(negotiate_format(&theirs, &ours), $format);
        }
    )*};
}

cases! {
    same_release_uses_binary: "0.1.0", "0.1.0" => Format::Binary;
    different_releases_use_json: "0.1.0", "0.2.0" => Format::Json;
    versions_with_common_prefix_differ: "0.1.0", "0.1.0-rc.1" => Format::Json;
}

/// Guards against postcard between two builds of one package version whose messages
/// differ. Builds up to cf1c94d named themselves by the hash of `0.1.0` alone.
#[test]
fn a_build_of_the_same_version_with_other_messages_uses_json() {
    let (ours, theirs) = (hello(RELEASE), hello(release("0.1.0")));
    assert_eq!(negotiate_format(&ours, &theirs), Format::Json);
    assert_eq!(negotiate_format(&theirs, &ours), Format::Json);
}
