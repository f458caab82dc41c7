//! A link between a gateway and a runner that may lose a packet: the one with which a
//! connection ends is sent again after the time that a kernel waits for at least.

use crate::record::Record;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// The least time after which Linux sends a packet again that was not acknowledged.
const RESEND: Duration = Duration::from_millis(200);

#[derive(Clone)]
pub struct Link {
    server: SocketAddr,
    /// Whether the end of a connection on which the gateway has sent nothing is lost once.
    pub loses_silent_end: Arc<AtomicBool>,
    record: Record,
}

impl Link {
    pub fn start(near: SocketAddr, server: SocketAddr, record: Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(near)?;
        let link = Self {
            server,
            loses_silent_end: Arc::default(),
            record,
        };
        let serving = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = serving.clone();
                thread::spawn(move || link.pass(client));
            }
        });
        Ok(link)
    }

    fn pass(&self, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.server) else {
            return;
        };
        client.set_nodelay(true).ok();
        server.set_nodelay(true).ok();
        let has_sent = Arc::new(AtomicBool::new(false));
        let (Ok(mut from), Ok(mut to)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let sending = has_sent.clone();
        thread::spawn(move || {
            copy(&mut from, &mut to, &sending);
            to.shutdown(Shutdown::Both).ok();
        });
        let (mut from, mut to) = (server, client);
        copy(&mut from, &mut to, &AtomicBool::new(false));
        let is_silent = !has_sent.load(Ordering::SeqCst);
        if is_silent && self.loses_silent_end.load(Ordering::SeqCst) {
            self.record
                .line("link: the packet that ends a connection without requests is lost");
            thread::sleep(RESEND);
            self.record.line("link: it is sent again");
        }
        to.shutdown(Shutdown::Both).ok();
    }
}

fn copy(from: &mut TcpStream, to: &mut TcpStream, has_sent: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        has_sent.store(true, Ordering::SeqCst);
        if to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}
