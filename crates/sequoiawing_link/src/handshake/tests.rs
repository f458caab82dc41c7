use super::{BUILD, BUILD_BYTES, UNKNOWN_BUILD, hello, negotiate_format, parse_build};
use crate::Format;

/// What all builds up to cf1c94d send: the FNV-1a hash of `0.1.0`.
const FIRST_BUILD: [u8; BUILD_BYTES] = first_build("0.1.0");

const fn first_build(version: &str) -> [u8; BUILD_BYTES] {
    let bytes = version.as_bytes();
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let mut i = 0;
    while i < bytes.len() {
        hash ^= bytes[i] as u64;
        hash = hash.wrapping_mul(0x0100_0000_01b3);
        i += 1;
    }
    hash.to_be_bytes()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $ours:expr, $theirs:expr => $format:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (ours, theirs) = (hello($ours), hello($theirs));
            assert_eq!(negotiate_format(&ours, &theirs), $format);
            assert_eq!(negotiate_format(&theirs, &ours), $format);
        }
    )*};
}

cases! {
    same_build_uses_binary: BUILD, BUILD => Format::Binary;
    different_builds_use_json: parse_build("1"), parse_build("2") => Format::Json;
    different_releases_use_json: first_build("0.1.0"), first_build("0.2.0") => Format::Json;
    versions_with_common_prefix_differ: first_build("0.1.0"), first_build("0.1.0-rc.1") => Format::Json;
    /// Guards against postcard between two builds of one package version whose messages
    /// differ.
    a_build_of_the_same_version_with_other_messages_uses_json: BUILD, FIRST_BUILD => Format::Json;
    builds_without_an_identifier_use_json: UNKNOWN_BUILD, UNKNOWN_BUILD => Format::Json;
}
