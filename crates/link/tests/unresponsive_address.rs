//! Dialing an address whose machine answers no packets, such as one that is powered off.

mod support;

use crate::support::{OLD_KEY, any_port, identity};
use link::dial;
use std::time::Duration;
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::mpsc,
    time,
};

/// Runs in simulated time, which advances only while every task waits.
#[tokio::test(start_paused = true)]
async fn a_machine_that_does_not_answer_is_dialed_again_within_a_second() {
    // A listener whose queue of connections to accept is full drops the packets that open more.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(any_port()).expect("a port is free");
    let listener = socket.listen(1).expect("it listens");
    let address = listener.local_addr().expect("it is bound");
    let mut waiting = Vec::new();
    for _ in 0..8 {
        let opened = time::timeout(Duration::from_millis(100), TcpStream::connect(address));
        if let Ok(Ok(stream)) = opened.await {
            waiting.push(stream);
        }
    }
    assert!(waiting.len() < 8, "the queue is full");

    let (inbox, _events) = mpsc::channel(8);
    let dialer_handle = dial(address, None, identity("dialer", &[OLD_KEY]), inbox);
    let dialer_handle = dialer_handle.expect("it has a key");
    time::sleep(Duration::from_millis(900)).await;
    assert!(dialer_handle.counters().failed() >= 1);
    time::sleep(Duration::from_secs(9)).await;
    let dialed = dialer_handle.counters().failed();
    assert!((8..=20).contains(&dialed), "{dialed} times in 10 s");
}
