//! The messages and checks of the handshake, without input or output.
//!
//! The dialer sends `Hello` with a nonce. The listener answers `Challenge` with its own nonce and a
//! proof made with its first key. The dialer accepts a proof made with any of its keys, answers
//! `Proof`, made with the same key, and waits for a first sealed frame. Both sides derive a key for
//! each direction of the connection from that key and the fields that they exchanged.

use crate::{
    error::HandshakeError,
    identity::{Identity, Peer},
    seal::{Opener, Sealer},
};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use wire::peer::{Challenge, Hello, Proof};

/// The length of a nonce.
pub const NONCE_BYTES: usize = 32;

/// A number used once, drawn from a cryptographically secure generator.
pub type Nonce = [u8; NONCE_BYTES];

/// The result of a successful handshake.
#[derive(Debug)]
pub struct Session {
    /// The authenticated peer.
    pub peer: Peer,
    /// Seals the frames sent.
    pub sealer: Sealer,
    /// Checks the frames received.
    pub opener: Opener,
}

/// What an authentication code is for: a side's proof, or the key for the frames of a direction.
///
/// The label goes into the code, so that a code of one purpose can't be used for another, such as
/// the listener's proof for the dialer's.
#[derive(Clone, Copy)]
enum Purpose {
    ListenerProof,
    DialerProof,
    ListenerFrames,
    DialerFrames,
}

impl Purpose {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::ListenerProof => b"oleanderwell link 1 listener proof",
            Self::DialerProof => b"oleanderwell link 1 dialer proof",
            Self::ListenerFrames => b"oleanderwell link 1 listener frames",
            Self::DialerFrames => b"oleanderwell link 1 dialer frames",
        }
    }
}

/// The fields that both sides sent before the first proof.
struct Transcript<'a> {
    deployment: &'a str,
    dialer: &'a str,
    dialer_incarnation: u64,
    dialer_nonce: &'a [u8],
    listener: &'a str,
    listener_incarnation: u64,
    listener_nonce: &'a [u8],
}

impl Transcript<'_> {
    /// The authentication code over the purpose and every field, each with its length.
    fn mac(&self, key: &[u8], purpose: Purpose) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
        let fields = [
            purpose.label(),
            self.deployment.as_bytes(),
            self.dialer.as_bytes(),
            &self.dialer_incarnation.to_be_bytes(),
            self.dialer_nonce,
            self.listener.as_bytes(),
            &self.listener_incarnation.to_be_bytes(),
            self.listener_nonce,
        ];
        for field in fields {
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field);
        }
        mac
    }

    fn mac_bytes(&self, key: &[u8], purpose: Purpose) -> Vec<u8> {
        self.mac(key, purpose).finalize().into_bytes().to_vec()
    }

    fn verify(&self, key: &[u8], purpose: Purpose, proof: &[u8]) -> bool {
        self.mac(key, purpose).verify_slice(proof).is_ok()
    }

    fn listener_session(&self, key: &[u8]) -> Session {
        Session {
            peer: Peer {
                node: self.dialer.to_owned(),
                incarnation: self.dialer_incarnation,
            },
            sealer: Sealer::new(&self.mac_bytes(key, Purpose::ListenerFrames)),
            opener: Opener::new(&self.mac_bytes(key, Purpose::DialerFrames)),
        }
    }

    fn dialer_session(&self, key: &[u8]) -> Session {
        Session {
            peer: Peer {
                node: self.listener.to_owned(),
                incarnation: self.listener_incarnation,
            },
            sealer: Sealer::new(&self.mac_bytes(key, Purpose::DialerFrames)),
            opener: Opener::new(&self.mac_bytes(key, Purpose::ListenerFrames)),
        }
    }
}

/// The dialer's first message, with a fresh `nonce`.
#[must_use]
pub fn hello(identity: &Identity, nonce: &Nonce) -> Hello {
    Hello {
        deployment: identity.deployment.clone(),
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        nonce: nonce.to_vec(),
    }
}

/// The listener's answer to `hello`, with a fresh `nonce`.
///
/// # Errors
///
/// [`HandshakeError`] when the dialer belongs to another deployment or its nonce has a wrong
/// length.
pub fn challenge(
    identity: &Identity,
    hello: &Hello,
    nonce: &Nonce,
) -> Result<Challenge, HandshakeError> {
    if hello.deployment != identity.deployment {
        return Err(HandshakeError::OtherDeployment {
            deployment: hello.deployment.clone(),
        });
    }
    check_nonce(&hello.nonce)?;
    let proof = listener_transcript(identity, hello, nonce)
        .mac_bytes(first_key(identity)?, Purpose::ListenerProof);
    Ok(Challenge {
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        nonce: nonce.to_vec(),
        proof,
    })
}

/// The listener's session, if the dialer's proof is valid. `hello` and `nonce` are those of
/// [`challenge`].
///
/// # Errors
///
/// [`HandshakeError::InvalidProof`] when the proof was not made with the listener's first key.
pub fn accept(
    identity: &Identity,
    hello: &Hello,
    nonce: &Nonce,
    proof: &Proof,
) -> Result<Session, HandshakeError> {
    let transcript = listener_transcript(identity, hello, nonce);
    let key = first_key(identity)?;
    if !transcript.verify(key, Purpose::DialerProof, &proof.proof) {
        return Err(HandshakeError::InvalidProof);
    }
    Ok(transcript.listener_session(key))
}

/// The dialer's proof and session, if the listener's challenge is valid. `nonce` is that of
/// [`hello`].
///
/// # Errors
///
/// [`HandshakeError`] when the listener knows none of the keys, is not `expected_node`, or its
/// nonce has a wrong length.
pub fn prove(
    identity: &Identity,
    expected_node: Option<&str>,
    nonce: &Nonce,
    challenge: &Challenge,
) -> Result<(Proof, Session), HandshakeError> {
    check_nonce(&challenge.nonce)?;
    let transcript = Transcript {
        deployment: &identity.deployment,
        dialer: &identity.node,
        dialer_incarnation: identity.incarnation,
        dialer_nonce: nonce,
        listener: &challenge.node,
        listener_incarnation: challenge.incarnation,
        listener_nonce: &challenge.nonce,
    };
    let key = identity
        .keys
        .iter()
        .find(|key| transcript.verify(key, Purpose::ListenerProof, &challenge.proof))
        .ok_or(HandshakeError::InvalidProof)?;
    if expected_node.is_some_and(|expected| expected != challenge.node) {
        return Err(HandshakeError::OtherNode {
            node: challenge.node.clone(),
        });
    }
    let proof = transcript.mac_bytes(key, Purpose::DialerProof);
    Ok((Proof { proof }, transcript.dialer_session(key)))
}

fn listener_transcript<'a>(
    identity: &'a Identity,
    hello: &'a Hello,
    nonce: &'a Nonce,
) -> Transcript<'a> {
    Transcript {
        deployment: &identity.deployment,
        dialer: &hello.node,
        dialer_incarnation: hello.incarnation,
        dialer_nonce: &hello.nonce,
        listener: &identity.node,
        listener_incarnation: identity.incarnation,
        listener_nonce: nonce,
    }
}

fn first_key(identity: &Identity) -> Result<&[u8], HandshakeError> {
    let key = identity.keys.first().ok_or(HandshakeError::InvalidProof)?;
    Ok(key)
}

fn check_nonce(nonce: &[u8]) -> Result<(), HandshakeError> {
    if nonce.len() == NONCE_BYTES {
        return Ok(());
    }
    Err(HandshakeError::NonceLength {
        len_bytes: nonce.len(),
    })
}
