//! Strangers are refused and hold neither memory nor a task.

mod support;

use crate::support::{
    ManualDialer, NEW_KEY, OLD_KEY, any_port, closed, down, identity, listener, up,
};
use link::{
    HANDSHAKE_TIMEOUT, HANDSHAKES_PER_ADDRESS_MAX, LinkError, SILENCE_TIMEOUT, dial,
    handshake::{self, NONCE_BYTES},
    listen,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, runtime::Handle, sync::mpsc, time};
use wire::FRAME_MAX_BYTES;

#[tokio::test]
async fn refuses_bytes_that_are_no_handshake() {
    let (handle, mut inbox) = listener(&[OLD_KEY]).await;
    let mut stranger = TcpStream::connect(handle.address()).await.expect("connect");
    let request = b"\0\0\0\x10GET / HTTP/1.1\r\n";
    stranger.write_all(request).await.expect("written");
    closed(&mut stranger).await;
    assert!(inbox.try_recv().is_err());
}

#[tokio::test]
async fn refuses_a_frame_larger_than_a_handshake_needs() {
    let (handle, _inbox) = listener(&[OLD_KEY]).await;
    let mut stranger = TcpStream::connect(handle.address()).await.expect("connect");
    let header = 2048_u32.to_be_bytes();
    let started = time::Instant::now();
    stranger.write_all(&header).await.expect("written");
    closed(&mut stranger).await;
    assert!(started.elapsed() < HANDSHAKE_TIMEOUT, "not by its size");
}

#[tokio::test]
async fn refuses_another_deployment() {
    let (handle, mut inbox) = listener(&[OLD_KEY]).await;
    let mut other = identity("dialer", &[OLD_KEY]);
    other.deployment = "joto-shield".to_owned();
    let mut dialer = ManualDialer::connect(handle.address()).await;
    let hello = handshake::hello(&other, &[1; NONCE_BYTES]);
    assert_eq!(dialer.challenge(&hello).await, None);
    assert!(inbox.try_recv().is_err());
}

#[tokio::test]
async fn refuses_a_wrong_key() {
    let (handle, mut inbox) = listener(&[OLD_KEY]).await;
    let nonce = [1; NONCE_BYTES];
    let right = identity("dialer", &[OLD_KEY]);
    let wrong = identity("dialer", &[NEW_KEY]);
    let mut dialer = ManualDialer::connect(handle.address()).await;
    let hello = handshake::hello(&wrong, &nonce);
    let challenge = dialer.challenge(&hello).await.expect("a challenge");
    assert!(handshake::prove(&wrong, None, &nonce, &challenge).is_err());
    let (mut proof, _) = handshake::prove(&right, None, &nonce, &challenge).expect("valid");
    proof.proof[0] ^= 1;
    assert_eq!(dialer.prove(&proof).await, None);
    assert!(inbox.try_recv().is_err());
}

#[tokio::test]
async fn refuses_the_listeners_own_proof() {
    let (handle, mut inbox) = listener(&[OLD_KEY]).await;
    let mut dialer = ManualDialer::connect(handle.address()).await;
    let hello = handshake::hello(&identity("dialer", &[]), &[1; NONCE_BYTES]);
    let challenge = dialer.challenge(&hello).await.expect("a challenge");
    let reflected = wire::peer::Proof {
        proof: challenge.proof,
    };
    assert_eq!(dialer.prove(&reflected).await, None);
    assert!(inbox.try_recv().is_err());
}

#[tokio::test]
async fn refuses_a_replayed_proof() {
    let (handle, mut inbox) = listener(&[OLD_KEY]).await;
    let mut dialer = ManualDialer::connect(handle.address()).await;
    let (hello, proof) = dialer.authenticate(&identity("dialer", &[OLD_KEY])).await;
    let (peer, connection, _) = up(&mut inbox).await;
    assert_eq!(peer.node, "dialer");
    drop(dialer);
    assert_eq!(down(&mut inbox).await, connection);

    let mut replay = ManualDialer::connect(handle.address()).await;
    assert!(replay.challenge(&hello).await.is_some());
    assert_eq!(replay.prove(&proof).await, None);
    assert!(inbox.try_recv().is_err());
}

#[tokio::test]
async fn dialer_refuses_another_node_than_the_expected_one() {
    let nonce = [1; NONCE_BYTES];
    let dialer = identity("dialer", &[OLD_KEY]);
    let hello = handshake::hello(&dialer, &nonce);
    let challenge =
        handshake::challenge(&identity("entry-2", &[OLD_KEY]), &hello, &[2; NONCE_BYTES])
            .expect("challenge");
    assert!(handshake::prove(&dialer, Some("entry-2"), &nonce, &challenge).is_ok());
    assert!(handshake::prove(&dialer, Some("entry-3"), &nonce, &challenge).is_err());
}

#[tokio::test]
async fn an_oversized_frame_breaks_the_connection() {
    let (handle, mut inbox) = listener(&[OLD_KEY]).await;
    let mut dialer = ManualDialer::connect(handle.address()).await;
    dialer.authenticate(&identity("dialer", &[OLD_KEY])).await;
    let (_, connection, _) = up(&mut inbox).await;
    let header = u32::try_from(FRAME_MAX_BYTES * 2)
        .expect("fits")
        .to_be_bytes();
    let stream = dialer.frames.get_mut();
    let started = time::Instant::now();
    stream.write_all(&header).await.expect("written");
    closed(stream).await;
    assert!(started.elapsed() < SILENCE_TIMEOUT, "not by its size");
    assert_eq!(down(&mut inbox).await, connection);
}

#[tokio::test]
async fn a_silent_stranger_is_dropped_and_holds_no_task() {
    let (handle, _inbox) = listener(&[OLD_KEY]).await;
    let tasks_before = Handle::current().metrics().num_alive_tasks();
    let mut stranger = TcpStream::connect(handle.address()).await.expect("connect");
    time::pause();
    closed(&mut stranger).await;
    while handle.counters().refused() == 0 {
        tokio::task::yield_now().await;
    }
    let tasks_after = Handle::current().metrics().num_alive_tasks();
    assert_eq!(tasks_after, tasks_before);
}

#[tokio::test]
async fn one_address_runs_few_handshakes_at_once() {
    let (handle, _inbox) = listener(&[OLD_KEY]).await;
    let mut silent = Vec::new();
    for _ in 0..HANDSHAKES_PER_ADDRESS_MAX {
        silent.push(TcpStream::connect(handle.address()).await.expect("connect"));
    }
    let mut one_more = TcpStream::connect(handle.address()).await.expect("connect");
    closed(&mut one_more).await;
    assert_eq!(handle.counters().rejected(), 1);
    assert_eq!(handle.counters().refused(), 0);
}

#[tokio::test]
async fn an_identity_without_a_key_is_an_error() {
    let (sender, _inbox) = mpsc::channel(1);
    let keyless = identity("listener", &[]);
    let listening = listen(any_port(), keyless.clone(), sender.clone()).await;
    assert!(matches!(listening, Err(LinkError::NoKey)));
    let dialing = dial(any_port(), None, keyless, sender);
    assert!(matches!(dialing, Err(LinkError::NoKey)));
}
