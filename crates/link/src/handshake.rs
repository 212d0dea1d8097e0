//! The handshake's decisions, without input or output.
//!
//! The dialer sends `Hello` with a nonce. The listener answers `Challenge` with its own nonce and a
//! proof by its first key. The dialer accepts any of its keys, answers `Proof` by the same key, and
//! waits for a first sealed frame. Both derive the connection's keys from that key and everything
//! that the handshake said.

use crate::{
    error::HandshakeError,
    identity::{Identity, Peer},
    seal::{Opener, Sealer},
};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use wire::peer::{Challenge, Hello, Proof};

/// Length of a nonce.
pub const NONCE_BYTES: usize = 32;

/// A number used once, drawn from a cryptographically secure generator.
pub type Nonce = [u8; NONCE_BYTES];

/// What an accepted handshake gives.
#[derive(Debug)]
pub struct Session {
    /// Who the other side proved to be.
    pub peer: Peer,
    /// Seals the frames sent.
    pub sealer: Sealer,
    /// Checks the frames received.
    pub opener: Opener,
}

/// What a keyed code is for; no code of one purpose serves another.
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

/// Everything that both sides said before the first proof.
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
    /// A code over the purpose and every field, each with its length.
    fn code(&self, key: &[u8], purpose: Purpose) -> Hmac<Sha256> {
        let mut code =
            Hmac::<Sha256>::new_from_slice(key).expect("a code takes keys of any length");
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
            code.update(&(field.len() as u64).to_be_bytes());
            code.update(field);
        }
        code
    }

    fn bytes(&self, key: &[u8], purpose: Purpose) -> Vec<u8> {
        self.code(key, purpose).finalize().into_bytes().to_vec()
    }

    fn verify(&self, key: &[u8], purpose: Purpose, proof: &[u8]) -> bool {
        self.code(key, purpose).verify_slice(proof).is_ok()
    }

    fn listener_session(&self, key: &[u8]) -> Session {
        Session {
            peer: Peer {
                node: self.dialer.to_owned(),
                incarnation: self.dialer_incarnation,
            },
            sealer: Sealer::new(&self.bytes(key, Purpose::ListenerFrames)),
            opener: Opener::new(&self.bytes(key, Purpose::DialerFrames)),
        }
    }

    fn dialer_session(&self, key: &[u8]) -> Session {
        Session {
            peer: Peer {
                node: self.listener.to_owned(),
                incarnation: self.listener_incarnation,
            },
            sealer: Sealer::new(&self.bytes(key, Purpose::DialerFrames)),
            opener: Opener::new(&self.bytes(key, Purpose::ListenerFrames)),
        }
    }
}

/// The dialer's first message.
#[must_use]
pub fn hello(identity: &Identity, nonce: &Nonce) -> Hello {
    Hello {
        deployment: identity.deployment.clone(),
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        nonce: nonce.to_vec(),
    }
}

/// The listener's answer to `hello`.
///
/// # Errors
///
/// [`HandshakeError`] when the dialer belongs to another deployment or its nonce is none.
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
        .bytes(first_key(identity)?, Purpose::ListenerProof);
    Ok(Challenge {
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        nonce: nonce.to_vec(),
        proof,
    })
}

/// The listener's decision on the dialer's proof.
///
/// # Errors
///
/// [`HandshakeError::Proof`] when the dialer doesn't know the key.
pub fn accept(
    identity: &Identity,
    hello: &Hello,
    nonce: &Nonce,
    proof: &Proof,
) -> Result<Session, HandshakeError> {
    let transcript = listener_transcript(identity, hello, nonce);
    let key = first_key(identity)?;
    if !transcript.verify(key, Purpose::DialerProof, &proof.proof) {
        return Err(HandshakeError::Proof);
    }
    Ok(transcript.listener_session(key))
}

/// The dialer's decision on the listener's challenge: its own proof and the session.
///
/// # Errors
///
/// [`HandshakeError`] when the listener knows none of the keys or is not the expected node.
pub fn prove(
    identity: &Identity,
    expected: Option<&str>,
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
        .ok_or(HandshakeError::Proof)?;
    if expected.is_some_and(|expected| expected != challenge.node) {
        return Err(HandshakeError::OtherNode {
            node: challenge.node.clone(),
        });
    }
    let proof = transcript.bytes(key, Purpose::DialerProof);
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
    let key = identity.keys.first().ok_or(HandshakeError::Proof)?;
    Ok(key)
}

fn check_nonce(nonce: &[u8]) -> Result<(), HandshakeError> {
    if nonce.len() == NONCE_BYTES {
        return Ok(());
    }
    Err(HandshakeError::Nonce {
        len_bytes: nonce.len(),
    })
}
