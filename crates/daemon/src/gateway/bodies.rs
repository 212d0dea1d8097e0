//! The memory for the bodies of clients' requests and for buffered answers, which all requests of a
//! gateway share.
//!
//! A body is kept until its request is answered, so that the request can be sent again. Before a body is
//! read, its size is reserved; while there is no room, the client's own sending waits. Small bodies have
//! room of their own, so that large ones don't hold them up.

use crate::http::{ClientBody, DISCARD_MAX_BYTES, discard_body};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::{sync::Arc, time::Duration};
use thiserror::Error;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

/// The unit in which room is reserved, in bytes.
const UNIT_BYTES: usize = 1_024;

/// The largest body that counts as small, in bytes.
const SMALL_MAX_BYTES: usize = 64 * 1_024;

/// The fraction of the process's memory for small bodies.
const SMALL_FRACTION: f64 = 0.125;

/// The fraction of the process's memory for all others and for buffered answers. What is left is
/// for connections and the plan.
const LARGE_FRACTION: f64 = 0.5;

/// What a large body or an answer takes beside its bytes: the buffers of the connections that carry it.
/// Without it, 400 bodies and answers of 250 kB took 113 MB of a gateway that may use 112.
const CARRIER_BYTES: usize = 48 * 1_024;

/// The room that is reserved for a body of unknown size once it is larger than a small one, in bytes;
/// each further reservation is twice as large.
const GROWTH_MIN_BYTES: usize = 1_024 * 1_024;

/// Time for a whole body to arrive, from when there is room for it.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest wait for room. Clients give up a request that is not read within a second.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// The part of a client's time that a request may wait for room, as a divisor.
const WAIT_DIVISOR: u32 = 3;

/// How long what a refused client goes on to send is read and thrown away, so that it reads its answer
/// instead of a closed connection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// It is larger than the plan or the memory of the process allows.
    #[error("the body is too large")]
    TooLarge,
    /// It did not arrive in time, or the connection broke.
    #[error("the body did not arrive")]
    Incomplete,
    /// The memory for bodies is used up.
    #[error("there is no room for the body")]
    NoRoom,
}

/// A whole body in memory, with the room that it takes until it is dropped.
#[derive(Debug)]
pub struct StoredBody {
    /// The content.
    pub bytes: Bytes,
    _room: Vec<OwnedSemaphorePermit>,
}

/// The room for bodies.
#[derive(Clone, Debug)]
pub struct Bodies {
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    large_max_bytes: usize,
}

impl Bodies {
    /// Room for the bodies of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: usize) -> Self {
        let part = |fraction: f64| (memory_bytes as f64 * fraction) as usize;
        let large_max_bytes = part(LARGE_FRACTION);
        let semaphore = |bytes: usize| Arc::new(Semaphore::new(bytes / UNIT_BYTES));
        Self {
            small: semaphore(part(SMALL_FRACTION)),
            large: semaphore(large_max_bytes),
            large_max_bytes,
        }
    }

    /// The room that is left for small bodies and for others, in bytes.
    pub fn free_bytes(&self) -> [usize; 2] {
        [&self.small, &self.large].map(|it| it.available_permits() * UNIT_BYTES)
    }

    /// Room for the buffer of an answer, which answers share with large bodies; `None` when there is
    /// none now.
    pub fn answer_room(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = u32::try_from((bytes + CARRIER_BYTES).div_ceil(UNIT_BYTES)).ok()?;
        Arc::clone(&self.large).try_acquire_many_owned(units).ok()
    }

    /// Reads a whole body of at most `limit_bytes`. Waits for room for a part of `client_timeout`, for
    /// which the client waits for its answer.
    ///
    /// # Errors
    ///
    /// [`ReadError`]; nothing is kept of the body then.
    pub async fn read(
        &self,
        body: ClientBody,
        limit_bytes: usize,
        client_timeout: Option<Duration>,
    ) -> Result<StoredBody, ReadError> {
        let limit_bytes = limit_bytes.min(self.large_max_bytes);
        let wait = client_timeout.map_or(WAIT_MAX, |it| (it / WAIT_DIVISOR).min(WAIT_MAX));
        let mut reader = Reader {
            bodies: self,
            body,
            wait,
            room: Vec::new(),
            reserved_bytes: 0,
            large_bytes: 0,
        };
        let stored = reader.read(limit_bytes).await;
        match stored {
            Ok(bytes) => Ok(StoredBody {
                bytes,
                _room: reader.room,
            }),
            Err(error) => {
                drop(reader.room);
                discard_body(reader.body, DISCARD_MAX_BYTES, DISCARD_TIMEOUT).await;
                Err(error)
            }
        }
    }
}

/// A body that is being read.
struct Reader<'a> {
    bodies: &'a Bodies,
    body: ClientBody,
    wait: Duration,
    room: Vec<OwnedSemaphorePermit>,
    reserved_bytes: usize,
    /// What was reserved of the room for large bodies.
    large_bytes: usize,
}

impl Reader<'_> {
    async fn read(&mut self, limit_bytes: usize) -> Result<Bytes, ReadError> {
        let exact_bytes = self.body.size_hint().exact();
        let exact_bytes = exact_bytes.map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        let first_bytes = exact_bytes.unwrap_or(SMALL_MAX_BYTES);
        if exact_bytes == Some(0) {
            return Ok(Bytes::new());
        }
        if exact_bytes.is_some_and(|it| it > limit_bytes) {
            return Err(ReadError::TooLarge);
        }
        self.reserve(first_bytes).await?;
        let mut read = BytesMut::with_capacity(exact_bytes.unwrap_or_default());
        let deadline = Instant::now() + BODY_TIMEOUT;
        while let Some(frame) = timeout_at(deadline, self.body.frame())
            .await
            .map_err(|_| ReadError::Incomplete)?
        {
            let frame = frame.map_err(|_| ReadError::Incomplete)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let needed_bytes = read.len() + data.len();
            if needed_bytes > limit_bytes {
                return Err(ReadError::TooLarge);
            }
            while needed_bytes > self.reserved_bytes {
                let growth_bytes = self.reserved_bytes.max(GROWTH_MIN_BYTES);
                let left_bytes = limit_bytes - self.reserved_bytes.min(limit_bytes);
                self.reserve(growth_bytes.min(left_bytes.max(data.len())))
                    .await?;
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }

    /// Reserves room for further bytes; waits until there is some.
    async fn reserve(&mut self, bytes: usize) -> Result<(), ReadError> {
        let is_small = self.reserved_bytes + bytes <= SMALL_MAX_BYTES;
        let room = match is_small {
            true => &self.bodies.small,
            false => &self.bodies.large,
        };
        let is_first_large = !is_small && self.reserved_bytes <= SMALL_MAX_BYTES;
        let carrier_bytes = if is_first_large { CARRIER_BYTES } else { 0 };
        // The largest accepted body needs all the room, and gets it.
        let left_bytes = self.bodies.large_max_bytes - self.large_bytes;
        let room_bytes = match is_small {
            true => bytes,
            false => (bytes + carrier_bytes).min(left_bytes),
        };
        self.large_bytes += if is_small { 0 } else { room_bytes };
        let units = u32::try_from(room_bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX);
        let until = Instant::now() + self.wait;
        let reserved = timeout_at(until, Arc::clone(room).acquire_many_owned(units)).await;
        // The semaphores are never closed.
        let permit = reserved.map_err(|_| ReadError::NoRoom)?;
        self.room.push(permit.map_err(|_| ReadError::NoRoom)?);
        self.reserved_bytes += bytes;
        Ok(())
    }
}
