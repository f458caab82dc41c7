use super::{BodyParts, JOINED_BYTES, WHOLE_BYTES, read_to_end};
use crate::from_bytes;
use bytes::Bytes;
use sequoiawing_runtime::run;

/// Returns parts of these sizes, each with bytes of its own.
fn parts(sizes: &[usize]) -> (BodyParts, Vec<u8>) {
    let mut parts = BodyParts::default();
    let mut expected = Vec::new();
    for (byte, size) in (1..).zip(sizes) {
        parts.push(Bytes::from(vec![byte; *size]));
        expected.extend(vec![byte; *size]);
    }
    (parts, expected)
}

macro_rules! sizes {
    ($($name:ident: $sizes:expr => $pieces:literal;)*) => {$(
        // Guards against bytes that are lost or change their order when parts are joined.
        #[test]
        fn $name() {
            let (joined, expected) = parts(&$sizes);
            assert_eq!(joined.len(), expected.len());
            assert_eq!(joined.clone().into_bytes(), expected);
            let mut joined = joined;
            let mut pieces = Vec::new();
            while let Some(piece) = joined.pop_front() {
                pieces.push(piece);
            }
            assert!(joined.is_empty());
            assert_eq!(pieces.concat(), expected);
            assert_eq!(pieces.len(), $pieces);
        }
    )*};
}

sizes! {
    no_parts: [] => 0;
    empty_parts: [0, 0] => 0;
    one_small_part: [10] => 1;
    one_large_part: [WHOLE_BYTES] => 1;
    small_parts_are_joined: [1, 2, 3] => 1;
    small_parts_around_a_large_one: [1, 2, WHOLE_BYTES, 3, 4] => 3;
    small_parts_up_to_a_size: [WHOLE_BYTES - 1; 6] => 2;
}

// Guards against a body in chunks of one byte that takes many times its size.
#[test]
fn parts_of_one_byte_take_few_pieces() {
    let mut parts = BodyParts::default();
    for _ in 0..10 * JOINED_BYTES {
        parts.push(Bytes::from_static(b"a"));
    }
    assert_eq!(parts.parts.len(), 9);
}

#[test]
fn a_body_is_read_up_to_its_limit() {
    run(async {
        let body = || from_bytes("a body");
        let read = read_to_end(body(), 6).await.expect("it is small");
        assert_eq!(&read[..], b"a body");
        assert!(read_to_end(body(), 5).await.is_err());
    });
}
