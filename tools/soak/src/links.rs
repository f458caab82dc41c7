//! Links between processes that delay, hold or reset what they carry.

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future::zip};
use rustix::net::sockopt::set_socket_linger;
use sequoiawing_runtime::{Watch, sleep, spawn};
use std::{
    io,
    net::{Shutdown, SocketAddr},
    time::Duration,
};

/// The buffer size of a link, in bytes.
const BUFFER: usize = 16 * 1024;

/// What a link does with connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// Carries all bytes.
    #[default]
    Open,
    /// Holds bytes of both directions back.
    Silent,
    /// Holds back what comes from the other end, and carries what goes there.
    OneWay,
    /// Resets connections.
    Reset,
    /// Carries bytes so many milliseconds later.
    Late(u64),
}

/// The pause before a listener is bound again that could not be bound.
const BIND_RETRY: Duration = Duration::from_millis(5);

/// A link from one process to another.
pub(crate) struct Link {
    state: Watch<LinkState>,
    is_up: Watch<bool>,
}

impl Link {
    /// Starts a link that listens at `address` and forwards to `target`.
    pub(crate) fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = listen(address)?;
        let link = Self {
            state: Watch::new(LinkState::Open),
            is_up: Watch::new(true),
        };
        let (state, is_up) = (link.state.clone(), link.is_up.clone());
        spawn(async move {
            let mut listener = listener;
            loop {
                accept_while_up(listener, target, &state, &is_up).await;
                is_up.wait_until(|up| *up).await;
                listener = loop {
                    match listen(address) {
                        Ok(listener) => break listener,
                        Err(_) => sleep(BIND_RETRY).await,
                    }
                };
            }
        })
        .detach();
        Ok(link)
    }

    pub(crate) fn set(&self, state: LinkState) {
        self.state.set(state);
    }

    /// Refuses connections while the process at the other end does not run, as its
    /// kernel does.
    pub(crate) fn set_up(&self, is_up: bool) {
        self.is_up.set(is_up);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}

async fn accept_while_up(
    listener: TcpListener,
    target: SocketAddr,
    state: &Watch<LinkState>,
    is_up: &Watch<bool>,
) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let down = async {
            is_up.wait_until(|up| !*up).await;
            None
        };
        match down.or(accepted).await {
            Some(Ok((near, _))) => spawn(forward(near, target, state.clone())).detach(),
            Some(Err(_)) => {}
            None => return,
        }
    }
}

async fn forward(near: TcpStream, target: SocketAddr, state: Watch<LinkState>) {
    state.wait_until(|s| *s != LinkState::Silent).await;
    let Ok(far) = TcpStream::connect(target).await else {
        reset(&near);
        return;
    };
    near.set_nodelay(true).ok();
    far.set_nodelay(true).ok();
    let copied = async {
        let out = copy(near.clone(), far.clone(), &state, |s| {
            s != LinkState::Silent
        });
        let back = copy(far.clone(), near.clone(), &state, |s| {
            !matches!(s, LinkState::Silent | LinkState::OneWay)
        });
        zip(out, back).await;
    };
    let broken = async {
        state.wait_until(|s| *s == LinkState::Reset).await;
        reset(&near);
        reset(&far);
    };
    copied.or(broken).await;
}

/// Makes a connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    set_socket_linger(stream, Some(Duration::ZERO)).ok();
}

/// Copies bytes while the link `carries` them, until either end closes. An orderly end
/// is passed on as such, and a reset as a reset.
async fn copy<F>(mut from: TcpStream, mut to: TcpStream, state: &Watch<LinkState>, carries: F)
where
    F: Fn(LinkState) -> bool,
{
    let mut buffer = vec![0; BUFFER];
    loop {
        let read = from.read(&mut buffer).await;
        let now = state.wait_until(|s| carries(*s)).await;
        if let LinkState::Late(delay) = now {
            sleep(Duration::from_millis(delay)).await;
        }
        match read {
            Ok(0) => {
                to.shutdown(Shutdown::Write).ok();
                return;
            }
            Ok(count) if to.write_all(&buffer[..count]).await.is_ok() => {}
            _ => {
                reset(&from);
                reset(&to);
                from.shutdown(Shutdown::Read).ok();
                to.shutdown(Shutdown::Read).ok();
                return;
            }
        }
    }
}
