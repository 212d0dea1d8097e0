//! Stand-in clients that send orders, which may run at most once.

use crate::{
    deployment::{Deployment, GATEWAY, Record},
    http,
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// How long a client waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// An order that a client sent.
pub struct Order {
    /// The value of `X-Attempt-Id`.
    pub attempt: String,
    /// The status of the answer; 0 when no whole answer came.
    pub status: u16,
}

/// Lets so many clients send orders, each one after the other, for a while; fails when less than half of
/// the orders were served.
pub fn send_orders(
    deployment: &Deployment,
    clients: usize,
    duration: Duration,
) -> io::Result<Vec<Order>> {
    let gateway = deployment.client_address(GATEWAY);
    let end = Instant::now() + duration;
    let send = |client: usize, record: Record| {
        move || {
            let mut orders = Vec::new();
            while Instant::now() < end {
                let attempt = format!("{client:02x}{:06x}", orders.len());
                let request = format!(
                    "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: {attempt}\r\nx-deadline-ms: 3000\r\ncontent-length: 5\r\n\r\norder"
                );
                let answer = http::exchange(gateway, request.as_bytes(), TIMEOUT);
                let status = answer.as_ref().map_or(0, http::Message::status);
                record.line(&format!("client {client} sent {attempt}, answered {status}"));
                orders.push(Order { attempt, status });
            }
            orders
        }
    };
    let clients = (0..clients).map(|client| thread::spawn(send(client, deployment.record.clone())));
    let clients: Vec<_> = clients.collect();
    let mut orders = Vec::new();
    for client in clients {
        let of_client = client.join().map_err(|_| io::Error::other("a client failed"))?;
        orders.extend(of_client);
    }
    let served = orders.iter().filter(|order| order.status == 200).count();
    let summary = format!("{} orders, {served} served", orders.len());
    deployment.record.line(&summary);
    match served * 2 < orders.len() {
        true => Err(io::Error::other(format!("of {summary}"))),
        false => Ok(orders),
    }
}
