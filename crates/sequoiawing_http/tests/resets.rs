//! Tests how connections end whose request was given up.

use sequoiawing_http::{Client, DirectConnector, from_bytes};
use sequoiawing_runtime::{run, timeout};
use std::{
    io::{ErrorKind, Read},
    net::TcpListener,
    sync::Arc,
    time::Duration,
};

/// Returns how the server's side of a connection ends whose request got no response.
fn ending(resets: bool) -> Result<usize, ErrorKind> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let connector = DirectConnector {
        timeout: Duration::from_secs(10),
        resets,
    };
    let client = Client::with_connector(Arc::new(connector), Duration::from_secs(1));
    let request = hyper::Request::builder()
        .method("POST")
        .uri("/order")
        .body(from_bytes("{}"))
        .expect("a valid request");
    let sent = run(timeout(
        Duration::from_millis(200),
        client.send(address, request),
    ));
    assert!(sent.is_none(), "the server does not answer");
    let (mut stream, _) = listener.accept().expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a valid timeout");
    let mut received = Vec::new();
    stream
        .read_to_end(&mut received)
        .map_err(|error| error.kind())
}

/// Guards against an order that reaches an engine seconds after it was given up, behind those
/// of the next leader: a partition held it up, and a connection that is closed in order
/// delivers it once the partition heals.
#[test]
fn a_request_that_was_given_up_is_reset() {
    assert_eq!(ending(true), Err(ErrorKind::ConnectionReset));
}

#[test]
fn other_connections_are_closed_in_order() {
    assert!(ending(false).is_ok_and(|received| received > 0));
}
