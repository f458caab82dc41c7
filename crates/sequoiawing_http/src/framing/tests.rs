use super::BodyFraming;
use hyper::{HeaderMap, StatusCode, header::HeaderName};

macro_rules! framings {
    ($($name:ident: $status:literal, $headers:expr => $framing:ident;)*) => {$(
        #[test]
        fn $name() {
            let headers: [(&str, &str); _] = $headers;
            let headers: HeaderMap = headers
                .into_iter()
                .map(|(name, value)| {
                    let name: HeaderName = name.parse().expect("a header name");
                    (name, value.parse().expect("a header value"))
                })
                .collect();
            let status = StatusCode::from_u16($status).expect("a status");
            assert_eq!(BodyFraming::of(status, &headers), BodyFraming::$framing);
        }
    )*};
}

framings! {
    a_length_frames_the_body: 200, [("content-length", "3")] => Length;
    chunks_frame_the_body: 200, [("transfer-encoding", "Chunked")] => Chunks;
    chunks_come_before_a_length: 200, [("content-length", "3"), ("transfer-encoding", "chunked")] => Chunks;
    the_last_encoding_counts: 200, [("transfer-encoding", "gzip, chunked")] => Chunks;
    an_encoding_without_chunks_ends_with_the_connection: 200, [("transfer-encoding", "gzip")] => Connection;
    a_head_without_framing_ends_with_the_connection: 200, [] => Connection;
    an_answer_without_content_has_no_body: 204, [] => Length;
}
