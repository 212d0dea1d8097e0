//! HTTP/1.1 over plain sockets, for clients, operators and upstreams that need control of each byte.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head and the body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// The header fields, in their order; names in lower case.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first field of this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 when the line has none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1).and_then(|it| it.parse().ok());
        status.unwrap_or(0)
    }
}

/// A connection, with the bytes that were read ahead.
pub struct Connection {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    /// Opens a connection; reads and writes on it take `timeout` at most.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    /// Wraps a socket that is open.
    pub fn new(stream: TcpStream) -> Self {
        // Only delays small answers when it fails.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Writes all bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.read_more()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.read_more()?;
        }
    }

    /// Reads a head, without the body that belongs to it.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let line = self.take_line()?;
        let mut message = Message {
            line,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.fields.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that a head announces.
    pub fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        let is_chunked = head.field("transfer-encoding") == Some("chunked");
        if !is_chunked {
            let length = head.field("content-length");
            let length = length.and_then(|it| it.parse().ok()).unwrap_or(0);
            return self.take(length);
        }
        let mut body = Vec::new();
        loop {
            let size = self.take_line()?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.take(size)?);
            self.take_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads a whole request or answer.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        message.body = self.read_body(&message)?;
        Ok(message)
    }
}

/// Sends a request on a connection of its own and returns the whole answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    connection.send(request)?;
    connection.read()
}
