//! A small HTTP/1.1 server and client over blocking sockets.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as the server reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|h| h.0 == name)
            .map_or("", |h| &h.1)
    }

    /// Returns the path without the query, and the value of a field of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |p| p.1);
        let fields = query.split('&').filter_map(|p| p.split_once('='));
        let found = fields
            .filter(|f| f.0 == name)
            .map(|f| percent_decode(f.1))
            .next();
        found.unwrap_or_default()
    }

    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Handles a request; `None` closes the channel without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync>;

/// Serves on a free port of a loopback address, with one thread for each channel.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_channel(stream, &handler));
        }
    });
    addr
}

fn serve_channel(mut stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = read_request(&mut reader)?;
        let (status, body) = handler(&request)?;
        let head = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).ok()?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut line = || {
        let mut text = String::new();
        let size = reader.read_line(&mut text).ok()?;
        (size > 0).then(|| text.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = Vec::new();
    loop {
        let text = line()?;
        if text.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|h| h.0 == "content-length");
    let length = length.and_then(|h| h.1.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Sends one request on a new channel; `None` if no whole answer came within the limit.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-deadline-ms: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
