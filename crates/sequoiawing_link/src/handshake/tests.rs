use super::{hello, negotiate_format, release};
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
