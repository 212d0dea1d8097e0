//! One connection: the handshake on its socket, then the exchange of frames until it ends.

use crate::{
    activity::{Activity, TrackedStream},
    codec::SealedCodec,
    counters::Counters,
    error::HandshakeError,
    event::{ConnectionId, Event, FrameSender},
    handshake::{self, NONCE_BYTES, Nonce, Session},
    identity::{Identity, Peer},
    limits::{KEEPALIVE_INTERVAL, QUEUE_FRAMES, SILENCE_TIMEOUT, WRITE_STALL_TIMEOUT},
};
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use rand::Rng;
use tokio::{net::TcpStream, sync::mpsc, time};
use tokio_util::codec::Framed;
use wire::peer::{Frame, Keepalive, frame::Body};

type Frames = Framed<TrackedStream, SealedCodec>;

/// An authenticated connection.
pub(crate) struct Connection {
    frames: Frames,
    peer: Peer,
}

const fn frame(body: Body) -> Frame {
    Frame {
        serial: 0,
        body: Some(body),
    }
}

fn nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill(&mut nonce);
    nonce
}

async fn receive(frames: &mut Frames) -> Result<Option<Body>, HandshakeError> {
    let frame = frames.next().await.ok_or(HandshakeError::Closed)??;
    Ok(frame.body)
}

impl Connection {
    /// Runs the dialer's side of the handshake; fails if the peer's name is not `expected_node`.
    pub(crate) async fn dial(
        stream: TcpStream,
        identity: &Identity,
        expected_node: Option<&str>,
    ) -> Result<Self, HandshakeError> {
        let mut frames = Framed::new(TrackedStream::new(stream), SealedCodec::plain());
        let nonce = nonce();
        let hello = handshake::hello(identity, &nonce);
        frames.send(frame(Body::Hello(hello))).await?;
        let Some(Body::Challenge(challenge)) = receive(&mut frames).await? else {
            let expected = "challenge";
            return Err(HandshakeError::UnexpectedMessage { expected });
        };
        let (proof, session) = handshake::prove(identity, expected_node, &nonce, &challenge)?;
        frames.send(frame(Body::Proof(proof))).await?;
        let mut connection = Self::from_session(frames, session);
        let Some(Body::Keepalive(_)) = receive(&mut connection.frames).await? else {
            let expected = "keepalive";
            return Err(HandshakeError::UnexpectedMessage { expected });
        };
        Ok(connection)
    }

    /// Runs the listener's side of the handshake.
    pub(crate) async fn accept(
        stream: TcpStream,
        identity: &Identity,
    ) -> Result<Self, HandshakeError> {
        let mut frames = Framed::new(TrackedStream::new(stream), SealedCodec::plain());
        let Some(Body::Hello(hello)) = receive(&mut frames).await? else {
            let expected = "hello";
            return Err(HandshakeError::UnexpectedMessage { expected });
        };
        let nonce = nonce();
        let challenge = handshake::challenge(identity, &hello, &nonce)?;
        frames.send(frame(Body::Challenge(challenge))).await?;
        let Some(Body::Proof(proof)) = receive(&mut frames).await? else {
            let expected = "proof";
            return Err(HandshakeError::UnexpectedMessage { expected });
        };
        let session = handshake::accept(identity, &hello, &nonce, &proof)?;
        let mut connection = Self::from_session(frames, session);
        let confirmation = frame(Body::Keepalive(Keepalive {}));
        connection.frames.send(confirmation).await?;
        Ok(connection)
    }

    fn from_session(mut frames: Frames, session: Session) -> Self {
        frames
            .codec_mut()
            .start_sealing(session.sealer, session.opener);
        Self {
            frames,
            peer: session.peer,
        }
    }

    /// Passes `on_up` the queue of frames to send, then moves frames from the queue to the socket
    /// and from the socket to `inbox` until the connection ends.
    pub(crate) async fn run(
        self,
        inbox: &mpsc::Sender<Event>,
        counters: &Counters,
        on_up: impl FnOnce(&FrameSender),
    ) {
        let Self { frames, peer } = self;
        let connection = ConnectionId::next();
        let (queue, queued) = mpsc::channel(QUEUE_FRAMES);
        let sender = FrameSender { queue };
        counters.count_established();
        on_up(&sender);
        let event = Event::Up {
            peer: peer.clone(),
            connection,
            sender: sender.clone(),
        };
        if inbox.send(event).await.is_err() {
            return;
        }
        let activity = frames.get_ref().activity();
        let (sink, stream) = frames.split();
        let to_event = |frame| Event::Frame {
            peer: peer.clone(),
            connection,
            frame,
            sender: sender.clone(),
        };
        tokio::select! {
            () = read(stream, &activity, inbox, counters, to_event) => {}
            () = write(sink, &activity, queued, counters) => {}
        }
        counters.count_closed();
        // This fails only if the receiver of events is gone, and then no one needs the event.
        let _ = inbox.send(Event::Down { peer, connection }).await;
    }
}

/// Delivers received frames until the connection ends or nothing was received for
/// [`SILENCE_TIMEOUT`].
async fn read(
    mut stream: SplitStream<Frames>,
    activity: &Activity,
    inbox: &mpsc::Sender<Event>,
    counters: &Counters,
    to_event: impl Fn(Frame) -> Event,
) {
    while let Some(frame) = next_frame(&mut stream, activity).await {
        if matches!(frame.body, Some(Body::Keepalive(_))) {
            continue;
        }
        counters.count_received();
        if inbox.send(to_event(frame)).await.is_err() {
            return;
        }
    }
}

/// The next frame; none when the connection has ended or is silent. A large frame on a slow link may
/// take longer than the timeout while its bytes come.
async fn next_frame(stream: &mut SplitStream<Frames>, activity: &Activity) -> Option<Frame> {
    let waiting_since = time::Instant::now();
    loop {
        let silent_at = activity.last_read().max(waiting_since) + SILENCE_TIMEOUT;
        tokio::select! {
            next = stream.next() => return next?.ok(),
            () = time::sleep_until(silent_at) => {
                if activity.last_read().max(waiting_since) + SILENCE_TIMEOUT
                    <= time::Instant::now()
                {
                    return None;
                }
            }
        }
    }
}

/// Sends queued frames, and a keepalive after [`KEEPALIVE_INTERVAL`] without one, until the
/// connection ends.
async fn write(
    mut sink: SplitSink<Frames, Frame>,
    activity: &Activity,
    mut queued: mpsc::Receiver<Frame>,
    counters: &Counters,
) {
    loop {
        let next = match time::timeout(KEEPALIVE_INTERVAL, queued.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(_) => frame(Body::Keepalive(Keepalive {})),
        };
        let keepalive = matches!(next.body, Some(Body::Keepalive(_)));
        if !send(&mut sink, next, activity).await {
            return;
        }
        if !keepalive {
            counters.count_sent();
        }
    }
}

/// Sends a frame. Returns false when the connection has failed, or takes no bytes for
/// [`WRITE_STALL_TIMEOUT`].
async fn send(sink: &mut SplitSink<Frames, Frame>, frame: Frame, activity: &Activity) -> bool {
    let started = time::Instant::now();
    let sending = sink.send(frame);
    tokio::pin!(sending);
    loop {
        let stalled_at = activity.last_written().max(started) + WRITE_STALL_TIMEOUT;
        tokio::select! {
            sent = sending.as_mut() => return sent.is_ok(),
            () = time::sleep_until(stalled_at) => {
                if activity.last_written().max(started) + WRITE_STALL_TIMEOUT
                    <= time::Instant::now()
                {
                    return false;
                }
            }
        }
    }
}
