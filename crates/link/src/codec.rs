//! Length-delimited frames, small and plain in the handshake, sealed afterwards.

use crate::{
    error::HandshakeError,
    limits::HANDSHAKE_FRAME_MAX_BYTES,
    seal::{CODE_BYTES, Opener, Sealer},
};
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};
use wire::{FRAME_MAX_BYTES, WireError, peer::Frame};

/// Frames of a connection.
///
/// One side seals or opens: a connection that is read and written apart has two of them.
#[derive(Debug)]
pub struct SealedCodec {
    lengths: LengthDelimitedCodec,
    sealer: Option<Sealer>,
    opener: Option<Opener>,
}

impl SealedCodec {
    /// Plain frames within the limit of the handshake.
    #[must_use]
    pub fn plain() -> Self {
        Self {
            lengths: lengths(HANDSHAKE_FRAME_MAX_BYTES),
            sealer: None,
            opener: None,
        }
    }

    /// Sealed frames within the limit of authenticated peers.
    pub fn authenticate(&mut self, sealer: Sealer, opener: Opener) {
        self.lengths
            .set_max_frame_length(FRAME_MAX_BYTES + CODE_BYTES);
        self.sealer = Some(sealer);
        self.opener = Some(opener);
    }
}

fn lengths(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(max_bytes)
        .new_codec()
}

impl Decoder for SealedCodec {
    type Item = Frame;
    type Error = HandshakeError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let Some(bytes) = self.lengths.decode(source).map_err(WireError::from)? else {
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
        let mut content = BytesMut::with_capacity(frame.encoded_len() + CODE_BYTES);
        frame
            .encode(&mut content)
            .expect("a growing buffer takes any frame");
        if let Some(sealer) = &mut self.sealer {
            sealer.seal(&mut content);
        }
        Ok(self
            .lengths
            .encode(content.freeze(), target)
            .map_err(WireError::from)?)
    }
}
