//! Length-delimited frames that each hold one message.

use crate::{error::WireError, peer::Frame};
use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The largest frame, in bytes; a larger one breaks the connection before it is read.
pub const FRAME_MAX_BYTES: usize = 1024 * 1024;

/// Frames of [`Frame`] messages.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl FrameCodec {
    /// A codec with the size limit of [`FRAME_MAX_BYTES`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            lengths: LengthDelimitedCodec::builder()
                .max_frame_length(FRAME_MAX_BYTES)
                .new_codec(),
        }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let Some(bytes) = self.lengths.decode(source)? else {
            return Ok(None);
        };
        Ok(Some(Frame::decode(bytes)?))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), Self::Error> {
        Ok(self
            .lengths
            .encode(Bytes::from(frame.encode_to_vec()), target)?)
    }
}
