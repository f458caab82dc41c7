//! Loopback addresses for the daemons of a test.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
};

/// The next port that this test process hands out.
static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);

/// Returns addresses that nothing else uses.
///
/// Each test process uses a loopback address of its own. A port picked by the
/// system and released again could be taken by another process or by an
/// outgoing connection before the daemon binds it.
pub(crate) fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    [(); N].map(|()| free_address())
}

/// Returns an address that nothing else uses.
pub(crate) fn free_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, high, low, 1], port))
}
