//! Peers that fail the handshake are refused, within limits of time, size and number, and leave no
//! task behind. An oversized frame ends an authenticated connection too, and an identity without a
//! key is an error.

mod support;

use crate::support::{
    ManualDialer, NEW_KEY, OLD_KEY, any_port, expect_down, expect_up, identity, start_listener,
    wait_until_closed,
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
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
    let mut dialer = TcpStream::connect(handle.address()).await.expect("connect");
    let request = b"\0\0\0\x10GET / HTTP/1.1\r\n";
    dialer.write_all(request).await.expect("written");
    wait_until_closed(&mut dialer).await;
    assert!(inbox.try_recv().is_err());
}

#[tokio::test]
async fn refuses_a_frame_over_the_handshake_limit() {
    let (handle, _inbox) = start_listener(&[OLD_KEY]).await;
    let mut dialer = TcpStream::connect(handle.address()).await.expect("connect");
    let header = 2048_u32.to_be_bytes();
    let started = time::Instant::now();
    dialer.write_all(&header).await.expect("written");
    wait_until_closed(&mut dialer).await;
    assert!(
        started.elapsed() < HANDSHAKE_TIMEOUT,
        "closed by a timeout and not for the frame's size"
    );
}

#[tokio::test]
async fn refuses_another_deployment() {
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
    let mut other = identity("dialer", &[OLD_KEY]);
    other.deployment = "joto-shield".to_owned();
    let mut dialer = ManualDialer::connect(handle.address()).await;
    let hello = handshake::hello(&other, &[1; NONCE_BYTES]);
    assert_eq!(dialer.challenge(&hello).await, None);
    assert!(inbox.try_recv().is_err());
}

#[tokio::test]
async fn refuses_a_wrong_key() {
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
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
async fn refuses_the_listeners_own_proof_from_a_dialer() {
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
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
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
    let mut dialer = ManualDialer::connect(handle.address()).await;
    let (hello, proof) = dialer.authenticate(&identity("dialer", &[OLD_KEY])).await;
    let (peer, connection, _) = expect_up(&mut inbox).await;
    assert_eq!(peer.node, "dialer");
    drop(dialer);
    assert_eq!(expect_down(&mut inbox).await, connection);

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
async fn an_oversized_frame_closes_the_connection() {
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
    let mut dialer = ManualDialer::connect(handle.address()).await;
    dialer.authenticate(&identity("dialer", &[OLD_KEY])).await;
    let (_, connection, _) = expect_up(&mut inbox).await;
    let header = u32::try_from(FRAME_MAX_BYTES * 2)
        .expect("fits")
        .to_be_bytes();
    let stream = dialer.frames.get_mut();
    let started = time::Instant::now();
    stream.write_all(&header).await.expect("written");
    wait_until_closed(stream).await;
    assert!(
        started.elapsed() < SILENCE_TIMEOUT,
        "closed by a timeout and not for the frame's size"
    );
    assert_eq!(expect_down(&mut inbox).await, connection);
}

#[tokio::test]
async fn a_silent_dialer_is_disconnected_and_leaves_no_task() {
    let (handle, _inbox) = start_listener(&[OLD_KEY]).await;
    let tasks_before = Handle::current().metrics().num_alive_tasks();
    let mut dialer = TcpStream::connect(handle.address()).await.expect("connect");
    time::pause();
    wait_until_closed(&mut dialer).await;
    while handle.counters().failed() == 0 {
        tokio::task::yield_now().await;
    }
    let tasks_after = Handle::current().metrics().num_alive_tasks();
    assert_eq!(tasks_after, tasks_before);
}

#[tokio::test]
async fn handshakes_of_one_address_are_limited() {
    let (handle, _inbox) = start_listener(&[OLD_KEY]).await;
    let mut silent = Vec::new();
    for _ in 0..HANDSHAKES_PER_ADDRESS_MAX {
        silent.push(TcpStream::connect(handle.address()).await.expect("connect"));
    }
    let mut one_more = TcpStream::connect(handle.address()).await.expect("connect");
    wait_until_closed(&mut one_more).await;
    assert_eq!(handle.counters().rejected_over_limit(), 1);
    assert_eq!(handle.counters().failed(), 0);
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
