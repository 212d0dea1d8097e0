//! A TCP relay that can delay bytes or hold them back in either direction, to simulate a slow or
//! partitioned network. Held bytes are not lost: they are forwarded once the mode allows it.

use std::{io, net::SocketAddr, time::Duration};
use strum::Display;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinSet,
    time::sleep,
};

/// The most bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a relay does with the bytes of all its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Mode {
    /// Forwards all bytes without delay.
    Open,
    /// Forwards each chunk after a delay.
    Delay {
        /// The wait before a chunk is written. The next chunk is read only after it.
        delay_ms: u64,
    },
    /// Holds back bytes from the client, the side that connected, and does not connect new clients
    /// to the target.
    #[strum(serialize = "cut_forward")]
    HoldForward,
    /// Holds back bytes from the server, the target of the relay.
    #[strum(serialize = "cut_backward")]
    HoldBackward,
    /// Holds back bytes in both directions, and does not connect new clients to the target.
    #[strum(serialize = "cut_both")]
    HoldBoth,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

impl Mode {
    const fn passes(self, direction: Direction) -> bool {
        match (self, direction) {
            (Self::Open | Self::Delay { .. }, _) => true,
            (Self::HoldForward, Direction::Forward) | (Self::HoldBackward, Direction::Backward) => {
                false
            }
            (Self::HoldForward, Direction::Backward) | (Self::HoldBackward, Direction::Forward) => {
                true
            }
            (Self::HoldBoth, _) => false,
        }
    }
}

/// A running relay. Dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Listens at `listen` and forwards each connection to `target`, in the mode [`Mode::Open`].
    ///
    /// # Errors
    ///
    /// When `listen` can't be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (mode, mode_receiver) = watch::channel(Mode::Open);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, mode_receiver));
        Ok(Self {
            address,
            mode,
            _tasks: tasks,
        })
    }

    /// The address at which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode, also for open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(relay_connection(stream, target, mode.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay_connection(client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if mode
        .wait_for(|mode| mode.passes(Direction::Forward))
        .await
        .is_err()
    {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy_bytes(client_read, server_write, Direction::Forward, mode.clone()),
        copy_bytes(server_read, client_write, Direction::Backward, mode),
    );
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(size) = from.read(&mut buffer).await {
        let Ok(current) = mode
            .wait_for(|mode| mode.passes(direction))
            .await
            .map(|mode| *mode)
        else {
            return;
        };
        if size == 0 {
            break;
        }
        if let Mode::Delay { delay_ms } = current {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
