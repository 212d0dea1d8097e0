//! Limits of sizes, numbers and times that hold for every connection.

use std::time::Duration;

/// A connection whose handshake takes longer is closed. At a dialer this includes the connect.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest encoded frame before the peer is authenticated.
pub const HANDSHAKE_FRAME_MAX_BYTES: usize = 1024;
/// The time that a dialer's first attempt waits for the TCP connection to open.
///
/// It is short because the first packet to a machine that is still powered off is lost, and the
/// operating system sends it again only after a second. Each further attempt waits twice as long,
/// up to [`HANDSHAKE_TIMEOUT`], since links may be slow; after that the times start over.
pub const CONNECT_TIMEOUT_MIN: Duration = Duration::from_millis(250);
/// The most handshakes that one listener runs at once; further connections are closed.
pub const HANDSHAKES_MAX: usize = 256;
/// The most handshakes that one listener runs at once with one IP address.
pub const HANDSHAKES_PER_ADDRESS_MAX: usize = 16;
/// The most authenticated connections of one listener; further ones are closed.
pub const CONNECTIONS_MAX: usize = 4096;
/// A connection is closed if it takes none of a frame's bytes for this long. A large frame on a slow
/// link may take longer in all.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A keepalive is sent when no other frame was sent for this long.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection is closed if no byte was received for this long.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The most frames that wait to be written to one connection's socket.
pub const QUEUE_FRAMES: usize = 256;
/// The longest wait before the first attempt to reconnect; doubled for each further one.
pub const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest wait before any attempt to reconnect.
pub const BACKOFF_MAX: Duration = Duration::from_millis(500);
