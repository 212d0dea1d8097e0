//! An HTTP/1 server that serves each connection in its own task, within limits of memory, and closes
//! gracefully.

use crate::http::{
    Body, Client, Cut, End, ServerLimits,
    admission::{Connections, Room, Waiting},
    socket::ClientSocket,
    stream::{Activity, ClientBody, ServedBody},
    with_body,
};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use plan::KeepAlive;
use std::{
    convert::Infallible,
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop, and
/// between two looks for an idle connection while the listener is full.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The fields of a head that the buffer of its connection pays for. Ordinary requests have fewer.
const FIELDS_FREE: usize = 100;

/// The memory of a parsed field beside its bytes: a name, a value and their places in the map.
const FIELD_BYTES: usize = 192;

/// The unit in which memory for heads is reserved, in bytes.
const UNIT_BYTES: usize = 1_024;

/// A running listener.
#[derive(Debug)]
pub struct Server {
    closing: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl Server {
    /// Stops accepting, lets the requests in flight finish, and returns once every connection is
    /// closed. Has no time limit of its own.
    pub async fn close(self) {
        self.closing.send_replace(true);
        let _ = self.accepting.await;
    }
}

/// Listens on `address` and answers every request with `handler`, which also gets the client.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn serve<H, F>(
    address: SocketAddr,
    limits: ServerLimits,
    handler: H,
) -> io::Result<Server>
where
    H: Fn(Request<ClientBody>, Client) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let (closing, closed) = watch::channel(false);
    let (ended, ends) = mpsc::unbounded_channel();
    let acceptor = Acceptor {
        connections: Connections::new(),
        next_id: 0,
        closed,
        ended,
        ends,
        head_room: Arc::new(Semaphore::new(limits.head_room_bytes() / UNIT_BYTES)),
        limits,
    };
    let accepting = tokio::spawn(acceptor.run(listener, handler));
    Ok(Server { closing, accepting })
}

/// Waits until the listener closes.
async fn closing(closed: &mut watch::Receiver<bool>) {
    // The sender is gone only with the server itself.
    let _ = closed.wait_for(|closed| *closed).await;
}

/// A connection in the acceptor's table.
struct Connection {
    activity: Arc<Activity>,
    /// Asks its task to end the connection, unless a request has come meanwhile.
    evict: mpsc::Sender<Cut>,
}

impl Waiting for Connection {
    fn waits_since(&self) -> Option<Instant> {
        self.activity.waits_since()
    }
}

struct Acceptor {
    connections: Connections<Connection>,
    next_id: u64,
    closed: watch::Receiver<bool>,
    /// Connections that have ended, by number.
    ended: mpsc::UnboundedSender<u64>,
    ends: mpsc::UnboundedReceiver<u64>,
    /// Memory for the heads of very many fields.
    head_room: Arc<Semaphore>,
    limits: ServerLimits,
}

impl Acceptor {
    async fn run<H, F>(mut self, listener: TcpListener, handler: H)
    where
        H: Fn(Request<ClientBody>, Client) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let mut waiting = None;
        loop {
            tokio::select! {
                () = closing(&mut self.closed) => break,
                Some(id) = self.ends.recv() => drop(self.connections.remove(id)),
                () = sleep(ACCEPT_RETRY), if waiting.is_some() => {}
                accepted = listener.accept(), if waiting.is_none() => match accepted {
                    Ok(accepted) => waiting = Some(accepted),
                    Err(_) => sleep(ACCEPT_RETRY).await,
                },
            }
            waiting = waiting.and_then(|(stream, client)| match self.make_room(client.ip()) {
                Room::Wait | Room::CloseForAll(_) | Room::CloseForAddress(_) => {
                    Some((stream, client))
                }
                Room::Refuse => None,
                Room::Free => {
                    self.start(stream, client, handler.clone());
                    None
                }
            });
        }
        drop((listener, waiting));
        while !self.connections.is_empty() {
            // The acceptor has a sender itself, so there is a next message.
            let ended = self.ends.recv().await;
            ended.and_then(|id| self.connections.remove(id));
        }
    }

    /// Asks a connection to end if a new one from `address` has no room otherwise.
    fn make_room(&self, address: IpAddr) -> Room {
        let (all, one) = (self.limits.connections(), self.limits.address_connections());
        let room = self.connections.room(address, all, one);
        let (evicted, cut) = match room {
            Room::Free | Room::Wait => return room,
            Room::Refuse => {
                self.limits.count(Cut::Address);
                return room;
            }
            Room::CloseForAddress(id) => (id, Cut::Address),
            Room::CloseForAll(id) => (id, Cut::Full),
        };
        if let Some(connection) = self.connections.get(evicted) {
            // Fails when the connection ends already, or has been asked.
            let _ = connection.evict.try_send(cut);
        }
        room
    }

    fn start<H, F>(&mut self, stream: TcpStream, client: SocketAddr, handler: H)
    where
        H: Fn(Request<ClientBody>, Client) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let id = self.next_id;
        self.next_id += 1;
        let activity = Arc::new(Activity::new());
        let (evict, evicted) = mpsc::channel(1);
        let served = ServedConnection {
            client,
            closed: self.closed.clone(),
            activity: Arc::clone(&activity),
            head_room: Arc::clone(&self.head_room),
            limits: self.limits.clone(),
            _end: EndNotice {
                id,
                ended: self.ended.clone(),
            },
        };
        tokio::spawn(served.run(stream, evicted, handler));
        let connection = Connection { activity, evict };
        self.connections.insert(id, client.ip(), connection);
    }
}

/// Tells the acceptor that a connection has ended, also when its task was aborted.
struct EndNotice {
    id: u64,
    ended: mpsc::UnboundedSender<u64>,
}

impl Drop for EndNotice {
    fn drop(&mut self) {
        // The acceptor is gone only with the process.
        let _ = self.ended.send(self.id);
    }
}

/// What the task of a connection owns beside its socket.
struct ServedConnection {
    client: SocketAddr,
    closed: watch::Receiver<bool>,
    activity: Arc<Activity>,
    head_room: Arc<Semaphore>,
    limits: ServerLimits,
    _end: EndNotice,
}

impl ServedConnection {
    async fn run<H, F>(self, stream: TcpStream, mut evicted: mpsc::Receiver<Cut>, handler: H)
    where
        H: Fn(Request<ClientBody>, Client) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let (mut closed, mut heads) = (self.closed.clone(), self.limits.heads.clone());
        let buffer_bytes = self.limits.buffer_bytes();
        let mut keep_alive = KeepAlive::new(heads.borrow_and_update().idle_timeout_ms);
        let activity = Arc::clone(&self.activity);
        let socket = ClientSocket::new(stream, self.client, activity, self.limits.clone());
        let service = service_fn(|request: Request<Incoming>| {
            self.activity.begin_request();
            let version = request.version();
            let reserved = reserve_head(&self.head_room, request.headers().len());
            let answer = reserved.map(|room| {
                let client = Client::new(self.client, Arc::clone(&self.activity));
                let activity = Arc::clone(&self.activity);
                let request = request.map(|body| ClientBody::new(body, activity));
                (room, handler(request, client))
            });
            let (activity, limits) = (Arc::clone(&self.activity), &self.limits);
            async move {
                let mut response = match answer {
                    Ok((room, answer)) => {
                        let response = answer.await;
                        drop(room);
                        response
                    }
                    Err(NoRoom) => {
                        limits.count(Cut::HeadRoom);
                        no_room_response()
                    }
                };
                if activity.ends_with_answer() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                    // The library adds a keep-alive to the answer of another version.
                    *response.version_mut() = version;
                }
                Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, activity)))
            }
        });
        let end = {
            let io = TokioIo::new(socket.stream());
            let served = self.limits.builder().serve_connection(io, service);
            let client_left = socket.client_left();
            tokio::pin!(served, client_left);
            let end = loop {
                tokio::select! {
                    biased;
                    ended = served.as_mut() => break End::of(ended, &self.activity),
                    end = client_left.as_mut() => break end,
                    () = closing(&mut closed), if !keep_alive.is_retiring() => {
                        keep_alive.retire();
                        self.activity.retire();
                    }
                    Ok(()) = heads.changed() => {
                        keep_alive.extend(heads.borrow_and_update().idle_timeout_ms);
                        // The buffer of a connection can't grow.
                        if self.limits.buffer_bytes() > buffer_bytes {
                            keep_alive.retire();
                            self.activity.retire();
                        }
                    }
                    Some(cut) = evicted.recv() => if self.activity.waits_since().is_some() {
                        self.limits.count(cut);
                        break End::Evicted;
                    },
                    () = socket.idle_over(keep_alive) => break match keep_alive.is_retiring() {
                        true if *closed.borrow() => End::Stopped,
                        true => End::Outdated,
                        false => End::Idle,
                    },
                }
            };
            self.record_end(end);
            end
        };
        match end {
            End::ClientLeft | End::ClientReset => return self.limits.count(Cut::Left),
            End::Evicted => return,
            End::HeadSize => self.limits.count(Cut::HeadSize),
            _ => {}
        }
        tokio::select! {
            () = socket.close(end) => {}
            Some(cut) = evicted.recv() => self.limits.count(cut),
        }
    }

    /// Records how the connection ends, before the request that is being served is dropped.
    fn record_end(&self, end: End) {
        self.activity.set_end(end);
        let has_request = self.activity.is_serving() || self.activity.is_stalled();
        let is_unanswered = has_request || end.breaks_answer();
        self.limits.record_end(self.client, end, is_unanswered);
    }
}

/// The memory for heads of very many fields is used up.
struct NoRoom;

/// Reserves memory for the fields that the buffer of the connection doesn't pay for.
fn reserve_head(
    room: &Arc<Semaphore>,
    fields: usize,
) -> Result<Option<OwnedSemaphorePermit>, NoRoom> {
    let extra_bytes = fields.saturating_sub(FIELDS_FREE) * FIELD_BYTES;
    if extra_bytes == 0 {
        return Ok(None);
    }
    let units = u32::try_from(extra_bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX);
    let reserved = Arc::clone(room).try_acquire_many_owned(units);
    reserved.map(Some).map_err(|_| NoRoom)
}

/// The response for a request that did not run for lack of memory.
fn no_room_response() -> Response<Body> {
    let mut response = with_body(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new());
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
