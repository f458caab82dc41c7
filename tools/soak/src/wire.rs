//! HTTP/1.1 at the level of bytes, so that answers can break off anywhere and every
//! byte is seen.

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::net::sockopt::set_socket_linger;
use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};

/// The longest head that is read, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// The most bytes that are read at once.
const READ_SIZE: usize = 8192;

/// The first line and the headers of a message.
#[derive(Debug, Default)]
pub(crate) struct Head {
    pub(crate) first: String,
    pub(crate) headers: Vec<(String, String)>,
}

impl Head {
    fn parse(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        Self {
            first,
            headers: headers.collect(),
        }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the so many-th word of the first line.
    pub(crate) fn word(&self, i: usize) -> &str {
        self.first.split(' ').nth(i).unwrap_or_default()
    }

    /// Returns the status of a response, 0 if there is none.
    pub(crate) fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        let coding = self.get("transfer-encoding").unwrap_or_default();
        coding.eq_ignore_ascii_case("chunked")
    }

    fn length(&self) -> Option<u64> {
        self.get("content-length")?.parse().ok()
    }

    pub(crate) fn request_framing(&self) -> Framing {
        if self.is_chunked() {
            return Framing::Chunked;
        }
        Framing::Length(self.length().unwrap_or_default())
    }

    pub(crate) fn response_framing(&self) -> Framing {
        if self.is_chunked() {
            return Framing::Chunked;
        }
        self.length().map_or(Framing::Close, Framing::Length)
    }

    pub(crate) fn closes(&self) -> bool {
        let connection = self.get("connection").unwrap_or_default();
        connection.eq_ignore_ascii_case("close")
    }
}

/// What ends a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// So many bytes that are left.
    Length(u64),
    /// The last chunk.
    Chunked,
    /// The end of the connection.
    Close,
    /// The end was read.
    Done,
}

/// A connection with what was read ahead.
pub(crate) struct Wire {
    stream: TcpStream,
    ahead: Vec<u8>,
    part: Box<[u8]>,
}

impl Wire {
    /// Lets the connection end with a reset.
    pub(crate) fn reset(&self) -> io::Result<()> {
        set_socket_linger(&self.stream, Some(Duration::ZERO))?;
        Ok(())
    }

    pub(crate) fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            ahead: Vec::new(),
            part: vec![0; READ_SIZE].into(),
        }
    }

    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Returns what was received and belongs to no message.
    pub(crate) fn ahead(&self) -> &[u8] {
        &self.ahead
    }

    /// Reads more; returns false at the end of the connection.
    pub(crate) async fn fill(&mut self) -> io::Result<bool> {
        let n = self.stream.read(&mut self.part).await?;
        self.ahead.extend_from_slice(&self.part[..n]);
        Ok(n > 0)
    }

    async fn fill_more(&mut self) -> io::Result<()> {
        if self.fill().await? {
            return Ok(());
        }
        Err(ErrorKind::UnexpectedEof.into())
    }

    async fn read_line(&mut self, end: &[u8]) -> io::Result<String> {
        loop {
            let found = self.ahead.windows(end.len()).position(|w| w == end);
            if let Some(found) = found {
                let line = String::from_utf8_lossy(&self.ahead[..found]).into_owned();
                self.ahead.drain(..found + end.len());
                return Ok(line);
            }
            if self.ahead.len() > MAX_HEAD {
                return Err(ErrorKind::InvalidData.into());
            }
            self.fill_more().await?;
        }
    }

    pub(crate) async fn read_head(&mut self) -> io::Result<Head> {
        Ok(Head::parse(&self.read_line(b"\r\n\r\n").await?))
    }

    /// Returns the next part of a body, nothing at its end.
    pub(crate) async fn read_part(&mut self, framing: &mut Framing) -> io::Result<Option<Vec<u8>>> {
        match framing {
            Framing::Done | Framing::Length(0) => {
                *framing = Framing::Done;
                Ok(None)
            }
            Framing::Length(left) => {
                if self.ahead.is_empty() {
                    self.fill_more().await?;
                }
                let n = usize::try_from(*left).unwrap_or(usize::MAX);
                let part: Vec<u8> = self.ahead.drain(..n.min(self.ahead.len())).collect();
                *left -= part.len() as u64;
                Ok(Some(part))
            }
            Framing::Close => {
                if self.ahead.is_empty() && !self.fill().await? {
                    *framing = Framing::Done;
                    return Ok(None);
                }
                Ok(Some(std::mem::take(&mut self.ahead)))
            }
            Framing::Chunked => {
                let line = self.read_line(b"\r\n").await?;
                let digits = line.split(';').next().unwrap_or_default().trim();
                let invalid = |_| io::Error::from(ErrorKind::InvalidData);
                let n = usize::from_str_radix(digits, 16).map_err(invalid)?;
                if n == 0 {
                    while !self.read_line(b"\r\n").await?.is_empty() {}
                    *framing = Framing::Done;
                    return Ok(None);
                }
                while self.ahead.len() < n + 2 {
                    self.fill_more().await?;
                }
                let part = self.ahead.drain(..n).collect();
                self.ahead.drain(..2);
                Ok(Some(part))
            }
        }
    }

    pub(crate) async fn read_body(&mut self, mut framing: Framing) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(part) = self.read_part(&mut framing).await? {
            body.extend(part);
        }
        Ok(body)
    }
}

/// Writes the head of a message.
pub(crate) fn head(first: &str, headers: &[(&str, &str)]) -> String {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(name);
        text.push_str(": ");
        text.push_str(value);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    text
}

/// Sends one request on a connection of its own and reads the answer.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, Vec<u8>)> {
    let mut wire = Wire::connect(address).await?;
    let (host, length) = (address.to_string(), body.len().to_string());
    let headers = [
        ("Host", host.as_str()),
        ("Content-Type", "application/json"),
        ("Content-Length", &length),
        ("Connection", "close"),
    ];
    let mut message = head(&format!("{method} {path} HTTP/1.1"), &headers);
    message.push_str(body);
    wire.write(message.as_bytes()).await?;
    let head = wire.read_head().await?;
    let body = wire.read_body(head.response_framing()).await?;
    Ok((head.status(), body))
}
