//! Checksummed frames that distinguish complete writes from torn ones.
//!
//! A frame consists of a tag for its kind, a length, a checksum and the content.
//! A batch frame holds all records that one sync makes durable. A marker frame is
//! written after the sync has returned; so a damaged frame before a marker was
//! durable and is not the result of a torn write.

/// The size of the frame header in bytes: tag, length and checksum.
pub(super) const HEADER_BYTES: usize = 12;

/// The maximum size of the content of a frame, in bytes.
const MAX_CONTENT: usize = 1024 * 1024 * 1024;

/// The kind of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// Records that are made durable by one sync.
    Batch,
    /// Marks all preceding frames in the file as durable.
    Marker,
    /// A snapshot.
    Snapshot,
}

const KINDS: [(Kind, [u8; 4]); 3] = [
    (Kind::Batch, *b"SwB1"),
    (Kind::Marker, *b"SwM1"),
    (Kind::Snapshot, *b"SwS1"),
];

/// A frame whose checksum is valid.
#[derive(Debug)]
pub(super) struct Frame<'a> {
    pub(super) kind: Kind,
    pub(super) content: &'a [u8],
    /// The offset of the first byte after the frame.
    pub(super) end: usize,
}

/// Appends an encoded frame to `out`.
pub(super) fn encode(kind: Kind, content: &[u8], out: &mut Vec<u8>) {
    let tag = KINDS.iter().find(|(k, _)| *k == kind).map(|(_, tag)| *tag);
    let tag = tag.expect("every frame kind must have a tag");
    let length =
        u32::try_from(content.len()).expect("the content of a frame must be smaller than 4 GiB");
    out.extend(tag);
    out.extend(length.to_le_bytes());
    out.extend(checksum(tag, length, content).to_le_bytes());
    out.extend(content);
}

/// Returns the frame at `offset`, or `None` if it is incomplete or damaged.
pub(super) fn decode(bytes: &[u8], offset: usize) -> Option<Frame<'_>> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let tag: [u8; 4] = header[..4].try_into().ok()?;
    let (kind, _) = KINDS.iter().find(|(_, t)| *t == tag)?;
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let sum = u32::from_le_bytes(header[8..].try_into().ok()?);
    let size = usize::try_from(length).ok().filter(|l| *l <= MAX_CONTENT)?;
    let start = offset + HEADER_BYTES;
    let content = bytes.get(start..start.checked_add(size)?)?;
    let is_intact = checksum(tag, length, content) == sum;
    is_intact.then_some(Frame {
        kind: *kind,
        content,
        end: start + size,
    })
}

/// Returns `true` if there is a valid marker frame at or after `offset`.
pub(super) fn has_marker(bytes: &[u8], offset: usize) -> bool {
    let tag = KINDS[1].1;
    let rest = &bytes[offset.min(bytes.len())..];
    let places = rest.windows(tag.len()).enumerate();
    let mut tagged = places.filter(|(_, window)| *window == tag);
    tagged.any(|(at, _)| decode(bytes, offset + at).is_some())
}

fn checksum(tag: [u8; 4], length: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&tag);
    hasher.update(&length.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}
