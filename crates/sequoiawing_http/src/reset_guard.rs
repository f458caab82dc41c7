use async_net::TcpStream;
use rustix::net::sockopt::set_socket_linger;
use std::time::Duration;

/// Resets a connection that ends before its response is whole, also if the process is
/// killed.
///
/// A caller with HTTP/1.0 takes the end of its connection for the end of the response.
#[derive(Debug)]
pub(crate) struct ResetGuard {
    stream: TcpStream,
    is_armed: bool,
}

impl ResetGuard {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            is_armed: false,
        }
    }

    /// Sets whether the connection is reset when it is closed.
    pub(crate) fn arm(&mut self, is_armed: bool) {
        if self.is_armed == is_armed {
            return;
        }
        self.is_armed = is_armed;
        let linger = is_armed.then_some(Duration::ZERO);
        if let Err(error) = set_socket_linger(&self.stream, linger) {
            log::warn!(target: "http", "A response that breaks off may look complete to its caller: {error}.");
        }
    }
}
