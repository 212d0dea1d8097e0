//! Bounds in size, number and time that hold for every connection.

use std::time::Duration;

/// A handshake that takes longer is refused.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest frame before the peer is authenticated.
pub const HANDSHAKE_FRAME_MAX_BYTES: usize = 1024;
/// The first of a dialer's attempts gives up after this time if the connection does not open: the
/// opening packet to a machine that has no power yet is lost, and the system sends it again only
/// after a second. Each further one waits twice as long, up to [`HANDSHAKE_TIMEOUT`], for links that
/// are slow, and then it starts over.
pub const CONNECT_TIMEOUT_MIN: Duration = Duration::from_millis(250);
/// Handshakes that one listener runs at once.
pub const HANDSHAKES_MAX: usize = 256;
/// Handshakes that one listener runs at once with one IP address.
pub const HANDSHAKES_PER_ADDRESS_MAX: usize = 16;
/// Authenticated connections that one listener keeps at once.
pub const CONNECTIONS_MAX: usize = 4096;
/// A frame that takes longer to write breaks the connection.
pub const FRAME_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// An idle connection carries a keepalive this often.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection that carried nothing for this long is broken.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Frames that wait for one connection's socket.
pub const QUEUE_FRAMES: usize = 256;
/// The first wait before a reconnection.
pub const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest wait before a reconnection.
pub const BACKOFF_MAX: Duration = Duration::from_millis(500);
