//! Connections on which a simulated upstream violates HTTP.

use crate::Fault;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::{io, time::Duration};

/// The maximum size of a request's headers, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The most bytes of a response without end, so that it cannot use up the memory of the
/// machine.
const MAX_ENDLESS_BYTES: usize = 8 * 1024 * 1024;

/// How long the connection stays open after an early response.
const EARLY_CLOSE_DELAY: Duration = Duration::from_millis(200);

/// A request as received from the connection.
pub(crate) struct RawRequest {
    pub(crate) head: String,
    pub(crate) body: String,
}

impl RawRequest {
    fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns a response that is valid for this request.
    fn response(&self, body: &str) -> String {
        let attempt = self.header("sequoiawing-attempt").unwrap_or_default();
        let length = body.len();
        format!(
            "HTTP/1.1 200 OK\r\nsequoiawing-attempt: {attempt}\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
    }
}

/// Serves a connection with a fault, and calls `on_request` for each request.
pub(crate) async fn serve_faulty<F>(mut stream: TcpStream, fault: Fault, on_request: F)
where
    F: Fn(&RawRequest),
{
    while let Ok(Some(request)) = read_request(&mut stream, fault).await {
        on_request(&request);
        if respond(&mut stream, fault, &request).await.is_err() {
            return;
        }
        match fault {
            Fault::ExtraResponse => {}
            // Closing while a request is in transit leaves its sender without
            // knowledge of whether it ran.
            Fault::CloseIdle => {
                stream.read(&mut [0; 1]).await.ok();
                return;
            }
            _ => return,
        }
    }
}

async fn respond(stream: &mut TcpStream, fault: Fault, request: &RawRequest) -> io::Result<()> {
    let response = request.response(&format!("done: {}", request.body));
    match fault {
        Fault::InvalidHttp => {
            stream
                .write_all(b"\x16\x03\x01 no HTTP at all\r\n\r\n")
                .await
        }
        Fault::EndlessHead => {
            let attempt = request.header("sequoiawing-attempt").unwrap_or_default();
            let head = format!("HTTP/1.1 200 OK\r\nsequoiawing-attempt: {attempt}\r\n");
            stream.write_all(head.as_bytes()).await?;
            write_without_end(stream, &b"x-y: zzzzzzzzzz\r\n".repeat(1_024)).await
        }
        Fault::EndlessBody => {
            let attempt = request.header("sequoiawing-attempt").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nsequoiawing-attempt: {attempt}\r\n\
                 transfer-encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
            let chunk = format!("4000\r\n{}\r\n", "a".repeat(0x4000));
            write_without_end(stream, chunk.as_bytes()).await
        }
        Fault::ExtraResponse => {
            let extra = request.response("stray");
            let both = format!("{response}{extra}");
            stream.write_all(both.as_bytes()).await
        }
        Fault::Unframed => {
            let attempt = request.header("sequoiawing-attempt").unwrap_or_default();
            let truncated =
                format!("HTTP/1.1 200 OK\r\nsequoiawing-attempt: {attempt}\r\n\r\ndone: ha");
            stream.write_all(truncated.as_bytes()).await
        }
        Fault::EarlyResponse => {
            stream.write_all(response.as_bytes()).await?;
            sequoiawing_runtime::sleep(EARLY_CLOSE_DELAY).await;
            Ok(())
        }
        Fault::CloseIdle => stream.write_all(response.as_bytes()).await,
        _ => Ok(()),
    }
}

/// Writes a part again and again, and then waits for the peer to close the connection.
async fn write_without_end(stream: &mut TcpStream, part: &[u8]) -> io::Result<()> {
    for _ in 0..MAX_ENDLESS_BYTES / part.len() {
        stream.write_all(part).await?;
    }
    stream.read(&mut [0; 1]).await.map(drop)
}

/// Reads a request, without its body if the fault is an early response. Returns
/// `None` if the connection ends or the headers are too large.
async fn read_request(stream: &mut TcpStream, fault: Fault) -> io::Result<Option<RawRequest>> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() > MAX_HEAD_BYTES || stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let mut request = RawRequest {
        head: String::from_utf8_lossy(&head).into_owned(),
        body: String::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|v| v.parse().ok());
    if fault != Fault::EarlyResponse {
        let mut body = vec![0; length.unwrap_or(0)];
        stream.read_exact(&mut body).await?;
        request.body = String::from_utf8_lossy(&body).into_owned();
    }
    Ok(Some(request))
}
