//! Connections carry frames, detect a silent peer, are opened again after a restart, and keep
//! working while keys are replaced.

mod support;

use crate::support::{
    EVENT_TIMEOUT, ManualDialer, NEW_KEY, OLD_KEY, expect_down, expect_frame, expect_up, frame,
    identity, next_event, numbered_frame, slow_relay, start_listener,
};
use link::{Event, QUEUE_FRAMES, SILENCE_TIMEOUT, SendError, WRITE_STALL_TIMEOUT, dial, listen};
use std::time::Instant;
use tokio::{sync::mpsc, time};
use wire::peer::{Follow, Frame, SyncAnswer, Upstream, frame::Body};

#[tokio::test]
async fn peers_exchange_frames_both_ways() {
    let (handle, mut listener_inbox) = start_listener(&[OLD_KEY]).await;
    let (sender, mut dialer_inbox) = mpsc::channel(16);
    let dialer = identity("dialer", &[OLD_KEY]);
    let dialer_handle = dial(handle.address(), Some("listener"), dialer, sender).expect("dialing");
    assert_eq!(expect_up(&mut listener_inbox).await.0.node, "dialer");
    assert_eq!(expect_up(&mut dialer_inbox).await.0.node, "listener");
    for index in 0..20 {
        dialer_handle
            .try_send(numbered_frame(index))
            .expect("queued");
        let (frame, sender) = expect_frame(&mut listener_inbox).await;
        assert_eq!(frame, numbered_frame(index));
        sender
            .try_send(numbered_frame(index + 100))
            .expect("queued");
        assert_eq!(
            expect_frame(&mut dialer_inbox).await.0,
            numbered_frame(index + 100)
        );
    }
    assert_eq!(handle.counters().received_frames(), 20);
}

#[tokio::test]
async fn sending_to_an_unreachable_peer_fails() {
    let (handle, _inbox) = start_listener(&[OLD_KEY]).await;
    let address = handle.address();
    handle.close().await;
    let (sender, _inbox) = mpsc::channel(16);
    let dialer_handle =
        dial(address, None, identity("dialer", &[OLD_KEY]), sender).expect("dialing");
    assert_eq!(
        dialer_handle.try_send(numbered_frame(1)),
        Err(SendError::NotConnected)
    );
}

#[tokio::test]
async fn reconnects_after_a_restart_and_replays_nothing() {
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
    let address = handle.address();
    let (sender, mut dialer_inbox) = mpsc::channel(16);
    let dialer = identity("dialer", &[OLD_KEY]);
    let dialer_handle = dial(address, Some("listener"), dialer, sender).expect("dialing");
    let (_, first, _) = expect_up(&mut dialer_inbox).await;
    expect_up(&mut inbox).await;
    handle.close().await;
    assert_eq!(expect_down(&mut dialer_inbox).await, first);
    while dialer_handle.try_send(numbered_frame(1)).is_ok() {
        tokio::task::yield_now().await;
    }

    let (sender, mut inbox) = mpsc::channel(16);
    let mut restarted = identity("listener", &[OLD_KEY]);
    restarted.incarnation = 2;
    let _handle = listen(address, restarted, sender).await.expect("listening");
    let (peer, second, _) = expect_up(&mut dialer_inbox).await;
    assert_eq!(peer.incarnation, 2);
    assert_ne!(first, second);
    expect_up(&mut inbox).await;
    dialer_handle.try_send(numbered_frame(2)).expect("queued");
    assert_eq!(expect_frame(&mut inbox).await.0, numbered_frame(2));
}

#[tokio::test]
async fn a_connection_without_keepalives_is_closed() {
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
    let mut dialer = ManualDialer::connect(handle.address()).await;
    dialer.authenticate(&identity("dialer", &[OLD_KEY])).await;
    let (_, connection, _) = expect_up(&mut inbox).await;
    time::pause();
    let started = time::Instant::now();
    assert_eq!(expect_down(&mut inbox).await, connection);
    assert!(started.elapsed() <= time::Duration::from_secs(4));
}

#[tokio::test]
async fn keepalives_keep_an_idle_connection_open() {
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
    let (sender, mut dialer_inbox) = mpsc::channel(16);
    let dialer = identity("dialer", &[OLD_KEY]);
    let _dialer_handle = dial(handle.address(), None, dialer, sender).expect("dialing");
    expect_up(&mut inbox).await;
    expect_up(&mut dialer_inbox).await;
    let idle = time::Duration::from_secs(4);
    assert!(time::timeout(idle, inbox.recv()).await.is_err());
    assert!(dialer_inbox.try_recv().is_err());
}

#[tokio::test]
async fn a_peer_that_does_not_read_fills_the_queue_and_is_disconnected() {
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
    let mut dialer = ManualDialer::connect(handle.address()).await;
    dialer.authenticate(&identity("dialer", &[OLD_KEY])).await;
    let (_, connection, sender) = expect_up(&mut inbox).await;
    let large = support::frame(Body::SyncAnswer(SyncAnswer {
        upstreams: vec![Upstream {
            name: "x".repeat(500_000),
            ..Upstream::default()
        }],
        ..SyncAnswer::default()
    }));
    let mut queued = 0;
    while sender.try_send(large.clone()).is_ok() {
        queued += 1;
    }
    assert!(queued <= QUEUE_FRAMES);
    assert_eq!(sender.try_send(large), Err(SendError::Full));
    assert_eq!(expect_down(&mut inbox).await, connection);
    assert_eq!(
        sender.try_send(numbered_frame(1)),
        Err(SendError::NotConnected)
    );
}

#[tokio::test]
async fn keys_are_replaced_one_process_after_the_other() {
    let steps: [(&[&str], &[&str]); 7] = [
        (&[OLD_KEY], &[OLD_KEY, NEW_KEY]),
        (&[OLD_KEY, NEW_KEY], &[OLD_KEY]),
        (&[OLD_KEY, NEW_KEY], &[NEW_KEY, OLD_KEY]),
        (&[NEW_KEY, OLD_KEY], &[OLD_KEY, NEW_KEY]),
        (&[NEW_KEY, OLD_KEY], &[NEW_KEY]),
        (&[NEW_KEY], &[NEW_KEY, OLD_KEY]),
        (&[NEW_KEY], &[NEW_KEY]),
    ];
    for (listener_keys, dialer_keys) in steps {
        let (handle, mut inbox) = start_listener(listener_keys).await;
        let (sender, _dialer_inbox) = mpsc::channel(16);
        let dialer = identity("dialer", dialer_keys);
        let _dialer_handle = dial(handle.address(), None, dialer, sender).expect("dialing");
        expect_up(&mut inbox).await;
    }
}

#[tokio::test]
async fn a_removed_key_is_refused() {
    let (handle, mut inbox) = start_listener(&[NEW_KEY]).await;
    let (sender, _dialer_inbox) = mpsc::channel(16);
    let dialer = identity("dialer", &[OLD_KEY]);
    let dialer_handle = dial(handle.address(), None, dialer, sender).expect("dialing");
    let failed = async {
        while handle.counters().failed() < 2 {
            tokio::task::yield_now().await;
        }
    };
    time::timeout(EVENT_TIMEOUT, failed).await.expect("failed");
    assert!(!dialer_handle.is_connected());
    assert!(inbox.try_recv().is_err());
}

#[tokio::test]
async fn dropping_a_dialer_closes_its_connection() {
    let (handle, mut inbox) = start_listener(&[OLD_KEY]).await;
    let (sender, mut dialer_inbox) = mpsc::channel(16);
    let dialer = identity("dialer", &[OLD_KEY]);
    let dialer_handle = dial(handle.address(), None, dialer, sender).expect("dialing");
    let (_, connection, _) = expect_up(&mut inbox).await;
    expect_up(&mut dialer_inbox).await;
    drop(dialer_handle);
    let event = next_event(&mut inbox).await;
    assert!(matches!(event, Event::Down { connection: of, .. } if of == connection));
}

/// A frame with this many bytes of content.
fn large_frame(bytes: usize) -> Frame {
    frame(Body::Follow(Follow {
        question_json: vec![b'x'; bytes],
    }))
}

// A frame that took longer than the timeouts of a whole frame broke the connection on either side, and
// so did the next connection's: a plan that large never reached a gateway behind a slow link.
#[tokio::test]
async fn a_frame_that_takes_longer_than_the_timeouts_arrives() {
    // The sockets' buffers take some megabytes at once.
    const FRAME_BYTES: usize = 14 * 1024 * 1024;
    const BYTES_PER_S: usize = 2 * 1024 * 1024;
    let (listener, mut inbox) = start_listener(&[OLD_KEY]).await;
    let relay = slow_relay(listener.address(), BYTES_PER_S).await;
    let (dialer_inbox, mut dialer_events) = mpsc::channel(16);
    let dialer = dial(relay, None, identity("dialer", &[OLD_KEY]), dialer_inbox).expect("a key");
    expect_up(&mut dialer_events).await;
    expect_up(&mut inbox).await;
    let started = Instant::now();
    dialer
        .try_send(large_frame(FRAME_BYTES))
        .expect("a connection");
    let (received, _) = expect_frame(&mut inbox).await;
    assert!(started.elapsed() > SILENCE_TIMEOUT.max(WRITE_STALL_TIMEOUT));
    assert_eq!(received, large_frame(FRAME_BYTES));
}
