//! Listeners and a step-by-step dialer on loopback sockets, and helpers that wait for events.
#![allow(dead_code)]

use futures_util::{SinkExt, StreamExt};
use link::{
    ConnectionId, Event, FrameSender, Identity, ListenerHandle, Peer, SealedCodec,
    handshake::{self, NONCE_BYTES},
    listen,
};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time,
};
use tokio_util::codec::Framed;
use wire::peer::{Challenge, Frame, Hello, Poll, Proof, frame::Body};

pub const OLD_KEY: &str = "the-older-of-two-keys-of-32-bytes";
pub const NEW_KEY: &str = "the-newer-of-two-keys-of-32-bytes";
/// The limit of a wait for something that should happen much earlier.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address")
}

pub fn identity(node: &str, keys: &[&str]) -> Identity {
    Identity {
        deployment: "wirecraft".to_owned(),
        node: node.to_owned(),
        incarnation: 1,
        keys: keys.iter().map(|key| key.as_bytes().to_vec()).collect(),
    }
}

/// A frame that carries `index`, to tell frames apart.
pub fn numbered_frame(index: u64) -> Frame {
    frame(Body::Poll(Poll {
        applied_index: index,
        ..Poll::default()
    }))
}

pub fn frame(body: Body) -> Frame {
    Frame {
        serial: 0,
        body: Some(body),
    }
}

pub async fn start_listener(keys: &[&str]) -> (ListenerHandle, mpsc::Receiver<Event>) {
    let (sender, inbox) = mpsc::channel(16);
    let handle = listen(any_port(), identity("listener", keys), sender)
        .await
        .expect("listening");
    (handle, inbox)
}

pub async fn next_event(inbox: &mut mpsc::Receiver<Event>) -> Event {
    time::timeout(EVENT_TIMEOUT, inbox.recv())
        .await
        .expect("an event before the timeout")
        .expect("an open inbox")
}

pub async fn expect_up(inbox: &mut mpsc::Receiver<Event>) -> (Peer, ConnectionId, FrameSender) {
    match next_event(inbox).await {
        Event::Up {
            peer,
            connection,
            sender,
        } => (peer, connection, sender),
        other => panic!("expected Up, got {other:?}"),
    }
}

pub async fn expect_down(inbox: &mut mpsc::Receiver<Event>) -> ConnectionId {
    match next_event(inbox).await {
        Event::Down { connection, .. } => connection,
        other => panic!("expected Down, got {other:?}"),
    }
}

pub async fn expect_frame(inbox: &mut mpsc::Receiver<Event>) -> (Frame, FrameSender) {
    match next_event(inbox).await {
        Event::Frame { frame, sender, .. } => (frame, sender),
        other => panic!("expected Frame, got {other:?}"),
    }
}

/// Starts a relay to `target` that passes on `bytes_per_s` in each direction; returns its address.
pub async fn slow_relay(target: SocketAddr, bytes_per_s: usize) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(target).await.expect("connected");
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::spawn(copy_slowly(client_read, server_write, bytes_per_s));
            tokio::spawn(copy_slowly(server_read, client_write, bytes_per_s));
        }
    });
    address
}

async fn copy_slowly(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes_per_s: usize) {
    const PIECES_PER_S: usize = 20;
    let mut piece = vec![0; bytes_per_s / PIECES_PER_S];
    while let Ok(len) = from.read(&mut piece).await {
        if len == 0 || to.write_all(&piece[..len]).await.is_err() {
            return;
        }
        time::sleep(Duration::from_secs(1) / PIECES_PER_S as u32).await;
    }
}

/// Waits until the other side has closed the connection.
pub async fn wait_until_closed(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    let read = async {
        while let Ok(len) = stream.read(&mut buffer).await {
            if len == 0 {
                return;
            }
        }
    };
    time::timeout(EVENT_TIMEOUT, read)
        .await
        .expect("a closed connection");
}

/// A dialer without a task of its own: the test sends and receives each handshake message itself.
pub struct ManualDialer {
    pub frames: Framed<TcpStream, SealedCodec>,
}

impl ManualDialer {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("connected");
        Self {
            frames: Framed::new(stream, SealedCodec::plain()),
        }
    }

    pub async fn receive(&mut self) -> Option<Body> {
        let next = time::timeout(EVENT_TIMEOUT, self.frames.next()).await;
        next.expect("a frame or an end in time")
            .and_then(Result::ok)
            .and_then(|frame| frame.body)
    }

    pub async fn challenge(&mut self, hello: &Hello) -> Option<Challenge> {
        let hello = frame(Body::Hello(hello.clone()));
        self.frames.send(hello).await.expect("hello sent");
        match self.receive().await {
            Some(Body::Challenge(challenge)) => Some(challenge),
            _ => None,
        }
    }

    pub async fn prove(&mut self, proof: &Proof) -> Option<Body> {
        let proof = frame(Body::Proof(proof.clone()));
        self.frames.send(proof).await.expect("proof sent");
        self.receive().await
    }

    /// Runs the whole handshake; returns the dialer's messages, which an eavesdropper can replay.
    pub async fn authenticate(&mut self, identity: &Identity) -> (Hello, Proof) {
        let nonce = [7; NONCE_BYTES];
        let hello = handshake::hello(identity, &nonce);
        let challenge = self.challenge(&hello).await.expect("a challenge");
        let (proof, session) =
            handshake::prove(identity, None, &nonce, &challenge).expect("a valid listener");
        let sent = frame(Body::Proof(proof.clone()));
        self.frames.send(sent).await.expect("proof sent");
        self.frames
            .codec_mut()
            .start_sealing(session.sealer, session.opener);
        let confirmation = self.receive().await;
        assert!(matches!(confirmation, Some(Body::Keepalive(_))));
        (hello, proof)
    }
}
