//! A small HTTP/1.1 server and client for the stand-ins. The server takes bodies with a length.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|h| h.0 == name);
        found.map_or("", |h| &h.1)
    }
}

pub enum Reply {
    Answer(u16, String),
    /// The channel says nothing further.
    Silence,
}

pub type Service = dyn Fn(Request) -> Reply + Send + Sync;

/// Pause between looks for new channels.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// A server that can go away and come back at its address, as a process that crashes does.
pub struct Server {
    addr: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    channels: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Listens on a free loopback port.
    pub fn start(service: Arc<Service>) -> Arc<Server> {
        let addr = free_addr();
        let server = Arc::new(Server {
            addr,
            listener: Mutex::new(Some(listen(addr))),
            channels: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            loop {
                accepting.accept(&service);
                thread::sleep(ACCEPT_PAUSE);
            }
        });
        server
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn accept(&self, service: &Arc<Service>) {
        let listener = self.listener.lock().expect("lock");
        while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
            let kept = stream
                .set_nonblocking(false)
                .and_then(|()| stream.try_clone());
            let Ok(kept) = kept else {
                continue;
            };
            self.channels.lock().expect("lock").push(kept);
            let service = service.clone();
            thread::spawn(move || serve_channel(stream, &*service));
        }
    }

    /// Ends all channels and refuses new ones.
    pub fn go_away(&self) {
        self.listener.lock().expect("lock").take();
        for channel in self.channels.lock().expect("lock").drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    /// Listens again.
    pub fn come_back(&self) {
        *self.listener.lock().expect("lock") = Some(listen(self.addr));
    }
}

/// Ports below those that the system gives to outgoing channels, so that an address stays free while
/// nobody listens there.
const FIRST_PORT: u16 = 10_000;

/// Ports that one run of this program has to itself: it listens on the first one all the time.
const BLOCK: u16 = 64;
const BLOCKS: u16 = 300;

/// The guard of this run's block, and the next port.
static PORTS: OnceLock<(TcpListener, AtomicU16)> = OnceLock::new();

fn reserve_block() -> (TcpListener, AtomicU16) {
    let start = std::process::id() as u16 % BLOCKS;
    for offset in 0..BLOCKS {
        let first = FIRST_PORT + (start + offset) % BLOCKS * BLOCK;
        if let Ok(guard) = TcpListener::bind(("127.0.0.1", first)) {
            return (guard, AtomicU16::new(first + 1));
        }
    }
    panic!("no free ports");
}

/// Returns a loopback address that nobody listens on.
pub fn free_addr() -> SocketAddr {
    let (_, next) = PORTS.get_or_init(reserve_block);
    loop {
        let addr = SocketAddr::from(([127, 0, 0, 1], next.fetch_add(1, Ordering::Relaxed)));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn listen(addr: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(addr).expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    listener
}

fn serve_channel(mut stream: TcpStream, service: &Service) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut buffer) {
        let mut words = message.first_line.split(' ');
        let request = Request {
            method: words.next().unwrap_or_default().to_owned(),
            path: words.next().unwrap_or_default().to_owned(),
            headers: message.headers,
            body: message.body,
        };
        match service(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} .\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if stream.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                let mut sink = [0; 4096];
                while stream.read(&mut sink).is_ok_and(|n| n > 0) {}
                return;
            }
        }
    }
}

struct Message {
    first_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next()?.to_owned();
            let headers: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length = headers.iter().find(|h| h.0 == "content-length");
            let length: usize = length.and_then(|h| h.1.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some(Message {
                    first_line,
                    headers,
                    body,
                });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Calls a program on a channel of its own; `None` if no whole answer came within `limit`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let message = read_message(&mut stream, &mut Vec::new())?;
    let status = message.first_line.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&message.body).into_owned()))
}
