//! Tests of the responses of a listener and their timing.

use bytes::Bytes;
use futures_lite::stream;
use hyper::{Request, Response, body::Incoming};
use sequoiawing_http::{
    Body, BodyError, Handler, HttpListener, HttpSettings, from_bytes, from_stream,
};
use sequoiawing_runtime::{Shutdown, run, spawn};
use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

/// How long a test waits for bytes that must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a test waits for bytes that must not arrive.
const QUIET_TIME: Duration = Duration::from_millis(200);

const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// The pieces in which a slow caller sends its body, and the pause after each;
/// together longer than a closing connection waits for a caller that sends
/// nothing.
const SLOW_PIECES: usize = 24;
const SLOW_PAUSE: Duration = Duration::from_millis(50);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

macro_rules! cases {
    ($($name:ident $body:block)*) => {
        $(
            #[test]
            fn $name() {
                run(async $body);
            }
        )*
    };
}

/// Responds to every request with the given frames.
struct FrameHandler(Vec<Result<Bytes, &'static str>>);

impl Handler for FrameHandler {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        if self.0.is_empty() {
            return Response::new(from_bytes("done"));
        }
        let frames = self.0.clone().into_iter();
        let frames = frames.map(|frame| frame.map_err(BodyError::from));
        Response::new(from_stream(stream::iter(frames)))
    }

    fn busy_response(&self) -> Vec<u8> {
        BUSY_RESPONSE.to_vec()
    }
}

async fn start_listener(
    frames: Vec<Result<Bytes, &'static str>>,
    max_connections: usize,
) -> SocketAddr {
    let settings = HttpSettings {
        max_connections,
        ..HttpSettings::default()
    };
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    let listener = HttpListener::bind(address, settings).await;
    let listener = listener.expect("a port is available");
    let address = listener.address().expect("the listener has an address");
    spawn(listener.serve(Arc::new(FrameHandler(frames)), Shutdown::default())).detach();
    address
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the listener accepts connections");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read timeout is set");
    stream
}

/// Sends a request and reads the response until the connection closes.
fn send_request(mut stream: TcpStream) -> String {
    stream.write_all(REQUEST).expect("the request is sent");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok();
    String::from_utf8(response).expect("the response is UTF-8")
}

cases! {
    a_connection_over_the_limit_gets_a_response_after_its_request {
        let address = start_listener(Vec::new(), 1).await;
        let open = connect(address);
        let mut rejected = connect(address);
        rejected.set_read_timeout(Some(QUIET_TIME)).expect("the read timeout is set");
        let early = rejected.read(&mut [0; 1]).expect_err("no response precedes the request");
        assert_eq!(early.kind(), ErrorKind::WouldBlock);
        rejected.set_read_timeout(Some(READ_TIMEOUT)).expect("the read timeout is set");
        let response = send_request(rejected);
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        drop(open);
    }

    a_response_that_fails_at_once_has_headers {
        let address = start_listener(vec![Err("withdrawn")], 10).await;
        let response = send_request(connect(address));
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert!(!response.ends_with("0\r\n\r\n"), "{response:?}");
    }

    a_response_that_fails_includes_all_earlier_frames {
        let frames = vec![Ok("one".into()), Ok("two".into()), Err("withdrawn")];
        let address = start_listener(frames, 10).await;
        let response = send_request(connect(address));
        assert!(response.contains("one"), "{response:?}");
        assert!(response.contains("two"), "{response:?}");
        assert!(!response.ends_with("0\r\n\r\n"), "{response:?}");
    }

    // Guards against a connection that is reset under a caller that still sends,
    // which loses the response.
    a_response_reaches_a_caller_that_is_slow_to_send_its_body {
        let address = start_listener(Vec::new(), 10).await;
        let mut caller = connect(address);
        let piece = [b'x'; 1_024];
        let length = SLOW_PIECES * piece.len();
        let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
        caller.write_all(head.as_bytes()).expect("the headers are sent");
        for sent in 0..SLOW_PIECES {
            let written = caller.write_all(&piece);
            written.unwrap_or_else(|e| panic!("the connection failed after {sent} pieces: {e}"));
            std::thread::sleep(SLOW_PAUSE);
        }
        let mut response = String::new();
        caller.read_to_string(&mut response).expect("the response arrives whole");
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert!(response.ends_with("done"), "{response:?}");
    }
}
