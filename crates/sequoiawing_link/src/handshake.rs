#[cfg(test)]
mod tests;

use crate::{Format, LinkError};
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::{fmt, io, sync::Arc};

const NONCE_BYTES: usize = 32;
const BUILD_BYTES: usize = 8;
const HELLO_BYTES: usize = NONCE_BYTES + BUILD_BYTES;
const PROOF_BYTES: usize = 32;

/// The identifier of a build without one. Such a build uses JSON with every other.
const UNKNOWN_BUILD: [u8; BUILD_BYTES] = [0; BUILD_BYTES];

/// Identifies the build in the hello message, so that processes of builds whose
/// messages differ do not choose a format that only one of them can read. The build
/// script computes it from the sources of all types that travel.
const BUILD: [u8; BUILD_BYTES] = parse_build(env!("SEQUOIAWING_BUILD_ID"));

/// Parses the hexadecimal identifier of a build.
const fn parse_build(text: &str) -> [u8; BUILD_BYTES] {
    match u64::from_str_radix(text, 16) {
        Ok(id) => id.to_be_bytes(),
        Err(_) => panic!("the identifier of the build is not a hexadecimal number"),
    }
}

/// Generates a hello message: a random nonce and the build identifier.
fn hello(build: [u8; BUILD_BYTES]) -> [u8; HELLO_BYTES] {
    let mut hello = [0; HELLO_BYTES];
    let nonce: [u8; NONCE_BYTES] = rand::random();
    hello[..NONCE_BYTES].copy_from_slice(&nonce);
    hello[NONCE_BYTES..].copy_from_slice(&build);
    hello
}

/// Returns the format that both peers support.
fn negotiate_format(ours: &[u8; HELLO_BYTES], theirs: &[u8; HELLO_BYTES]) -> Format {
    let build = &ours[NONCE_BYTES..];
    if build == &theirs[NONCE_BYTES..] && build != UNKNOWN_BUILD {
        Format::Binary
    } else {
        Format::Json
    }
}

/// The secret shared by all processes of one deployment.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// The minimum length of a configured secret, in bytes.
    pub const MIN_BYTES: usize = 16;
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(Arc::from(text.as_bytes()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// The role of the peer that makes a proof. Proofs of the two roles differ, so
/// that a proof cannot be reflected to the peer that made it.
#[derive(Clone, Copy)]
enum Role {
    Client,
    Server,
}

/// Performs the client side of the handshake and returns the format of the
/// connection.
///
/// The client proves the secret first, then verifies the server's proof.
pub(crate) async fn initiate(stream: &mut TcpStream, secret: &Secret) -> Result<Format, LinkError> {
    let ours = hello(BUILD);
    write(stream, &ours).await?;
    let theirs = read::<HELLO_BYTES>(stream).await?;
    write(stream, &prove(secret, Role::Client, &ours, &theirs)).await?;
    let proof = read::<PROOF_BYTES>(stream).await?;
    verify(secret, Role::Server, &ours, &theirs, &proof)?;
    Ok(negotiate_format(&ours, &theirs))
}

/// Performs the server side of the handshake and returns the format of the
/// connection.
///
/// The server verifies the client's proof before it sends its own.
pub(crate) async fn accept(stream: &mut TcpStream, secret: &Secret) -> Result<Format, LinkError> {
    let ours = hello(BUILD);
    let theirs = read::<HELLO_BYTES>(stream).await?;
    write(stream, &ours).await?;
    let proof = read::<PROOF_BYTES>(stream).await?;
    verify(secret, Role::Client, &theirs, &ours, &proof)?;
    write(stream, &prove(secret, Role::Server, &theirs, &ours)).await?;
    Ok(negotiate_format(&ours, &theirs))
}

fn mac(secret: &Secret, role: Role, client: &[u8], server: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&secret.0).expect("HMAC accepts keys of any length");
    mac.update(match role {
        Role::Client => b"sequoiawing client",
        Role::Server => b"sequoiawing server",
    });
    mac.update(client);
    mac.update(server);
    mac
}

fn prove(secret: &Secret, role: Role, client: &[u8], server: &[u8]) -> Vec<u8> {
    mac(secret, role, client, server)
        .finalize()
        .into_bytes()
        .to_vec()
}

fn verify(
    secret: &Secret,
    role: Role,
    client: &[u8],
    server: &[u8],
    proof: &[u8],
) -> Result<(), LinkError> {
    mac(secret, role, client, server)
        .verify_slice(proof)
        .map_err(|_| LinkError::Unauthenticated)
}

async fn read<const N: usize>(stream: &mut TcpStream) -> Result<[u8; N], LinkError> {
    let mut bytes = [0; N];
    let result = stream.read_exact(&mut bytes).await;
    result.map_err(|e| connection_error(stream, e))?;
    Ok(bytes)
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), LinkError> {
    let result = stream.write_all(bytes).await;
    result.map_err(|e| connection_error(stream, e))
}

fn connection_error(stream: &TcpStream, source: io::Error) -> LinkError {
    let address = stream
        .peer_addr()
        .map_or_else(|_| "?".to_owned(), |a| a.to_string());
    LinkError::Connection { address, source }
}
