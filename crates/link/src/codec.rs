//! The codec of a connection: length-delimited frames, which carry an authentication code after the
//! handshake.

use crate::{
    error::HandshakeError,
    limits::HANDSHAKE_FRAME_MAX_BYTES,
    seal::{MAC_BYTES, Opener, Sealer},
};
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};
use wire::{FRAME_MAX_BYTES, WireError, peer::Frame};

/// Encodes and decodes the frames of a connection.
///
/// During the handshake, frames carry no authentication code, and their size limit is small.
#[derive(Debug)]
pub struct SealedCodec {
    framing: LengthDelimitedCodec,
    sealer: Option<Sealer>,
    opener: Option<Opener>,
}

impl SealedCodec {
    /// A codec for the handshake: frames of at most [`HANDSHAKE_FRAME_MAX_BYTES`], without
    /// authentication codes.
    #[must_use]
    pub fn plain() -> Self {
        Self {
            framing: framing(HANDSHAKE_FRAME_MAX_BYTES),
            sealer: None,
            opener: None,
        }
    }

    /// From now on, appends an authentication code to each frame sent, requires one on each frame
    /// received, and allows frames up to [`FRAME_MAX_BYTES`].
    pub fn start_sealing(&mut self, sealer: Sealer, opener: Opener) {
        self.framing
            .set_max_frame_length(FRAME_MAX_BYTES + MAC_BYTES);
        self.sealer = Some(sealer);
        self.opener = Some(opener);
    }
}

fn framing(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(max_bytes)
        .new_codec()
}

impl Decoder for SealedCodec {
    type Item = Frame;
    type Error = HandshakeError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let Some(bytes) = self.framing.decode(source).map_err(WireError::from)? else {
            return Ok(None);
        };
        let content = match &mut self.opener {
            Some(opener) => opener.open(bytes)?,
            None => bytes.freeze(),
        };
        Ok(Some(Frame::decode(content).map_err(WireError::from)?))
    }
}

impl Encoder<Frame> for SealedCodec {
    type Error = HandshakeError;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), Self::Error> {
        let mut content = BytesMut::with_capacity(frame.encoded_len() + MAC_BYTES);
        frame
            .encode(&mut content)
            .expect("the buffer grows as needed");
        if let Some(sealer) = &mut self.sealer {
            sealer.seal(&mut content);
        }
        Ok(self
            .framing
            .encode(content.freeze(), target)
            .map_err(WireError::from)?)
    }
}
