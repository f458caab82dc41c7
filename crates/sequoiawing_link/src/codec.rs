use serde::{Serialize, de::DeserializeOwned};
use std::{io, marker::PhantomData, pin::Pin};
use tarpc::{
    tokio_serde::{Deserializer, Serializer},
    tokio_util::bytes::{Bytes, BytesMut},
};

/// The serialization format of messages on one connection.
///
/// Binary messages are a third as long as JSON but contain no field names, so
/// that they can only be exchanged between processes of the same build.
/// Processes of different builds use JSON, where unknown fields are ignored
/// and missing fields have defaults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Postcard, between processes of the same build.
    Binary,
    /// JSON, between processes of different builds.
    Json,
}

impl Format {
    /// Serializes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the format cannot represent the value.
    pub fn encode<T>(self, value: &T) -> io::Result<Vec<u8>>
    where
        T: Serialize,
    {
        match self {
            Self::Binary => postcard::to_stdvec(value).map_err(io::Error::other),
            Self::Json => Ok(serde_json::to_vec(value)?),
        }
    }

    /// Deserializes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid message of type `T`.
    pub fn decode<T>(self, bytes: &[u8]) -> io::Result<T>
    where
        T: DeserializeOwned,
    {
        match self {
            Self::Binary => postcard::from_bytes(bytes).map_err(io::Error::other),
            Self::Json => Ok(serde_json::from_slice(bytes)?),
        }
    }
}

/// A codec that serializes messages of type `O` and deserializes messages of
/// type `I`.
#[derive(Debug)]
pub struct Codec<I, O> {
    format: Format,
    messages: PhantomData<fn(O) -> I>,
}

impl<I, O> Codec<I, O> {
    pub(crate) fn new(format: Format) -> Self {
        let messages = PhantomData;
        Self { format, messages }
    }
}

impl<I, O> Serializer<O> for Codec<I, O>
where
    O: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &O) -> io::Result<Bytes> {
        self.format.encode(item).map(Bytes::from)
    }
}

impl<I, O> Deserializer<I> for Codec<I, O>
where
    I: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, bytes: &BytesMut) -> io::Result<I> {
        self.format.decode(bytes)
    }
}
