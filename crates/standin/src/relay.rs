//! A TCP relay on loopback that can cut or delay what passes.

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

/// Bytes that pass at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a relay does with the bytes that come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Mode {
    /// Passes everything.
    Open,
    /// Passes everything this much later.
    Delay {
        /// The delay of each chunk.
        delay_ms: u64,
    },
    /// Holds back what comes from the side that connected.
    CutForward,
    /// Holds back what comes from the side that was connected to.
    CutBackward,
    /// Holds back both ways.
    CutBoth,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Forward,
    Backward,
}

impl Mode {
    const fn passes(self, way: Way) -> bool {
        match (self, way) {
            (Self::Open | Self::Delay { .. }, _) => true,
            (Self::CutForward, Way::Forward) | (Self::CutBackward, Way::Backward) => false,
            (Self::CutForward, Way::Backward) | (Self::CutBackward, Way::Forward) => true,
            (Self::CutBoth, _) => false,
        }
    }
}

/// A running relay; dropping it ends it and its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Listens at `listen` and connects each connection on to `target`.
    ///
    /// # Errors
    ///
    /// When `listen` can't be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (mode, seen) = watch::channel(Mode::Open);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, seen));
        Ok(Self {
            address,
            mode,
            _tasks: tasks,
        })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does from now on, for open connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connect(stream, target, mode.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connect(near: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if mode
        .wait_for(|mode| mode.passes(Way::Forward))
        .await
        .is_err()
    {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pass(near_read, far_write, Way::Forward, mode.clone()),
        pass(far_read, near_write, Way::Backward, mode),
    );
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(size) = from.read(&mut buffer).await {
        let Ok(seen) = mode
            .wait_for(|mode| mode.passes(way))
            .await
            .map(|mode| *mode)
        else {
            return;
        };
        if size == 0 {
            break;
        }
        if let Mode::Delay { delay_ms } = seen {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
