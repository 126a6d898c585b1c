//! HTTP calls by `attohttpc` with the checks that it leaves out.
//!
//! Redirects, proxies from the environment and compression are off. A body is
//! whole only if its length was announced and met, or its last chunk arrived.
//! Each call opens a connection, which is what the library gives.

use std::{
    io::{ErrorKind as IoKind, Read},
    net::SocketAddr,
    time::{Duration, Instant},
};

use attohttpc::{
    ErrorKind, InvalidResponseKind, Method, ProxySettings, RequestBuilder, ResponseReader,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue},
};
use snafu::Snafu;

/// Longest time a connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Most header fields an answer may have.
const MAX_HEADERS: usize = 64;

/// A header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

impl HeaderField {
    /// Returns a field; the name is put in lower case.
    pub fn new(name: &str, value: impl Into<String>) -> HeaderField {
        HeaderField {
            name: name.to_ascii_lowercase(),
            value: value.into(),
        }
    }
}

/// Returns the value of the first field called `name` (lower case).
pub fn find_header<'a>(headers: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|f| f.name == name)?;
    Some(&found.value)
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why a call has no whole answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// Nothing was sent: the connection was refused or the call is malformed.
    #[snafu(display("nothing was sent"))]
    NotSent,
    /// The time was up; the peer may have acted on the request.
    #[snafu(display("timeout"))]
    Timeout,
    /// The connection broke or the answer was cut or malformed.
    #[snafu(display("connection broke or answer is not whole"))]
    Broken,
    /// The answer's body is longer than allowed.
    #[snafu(display("answer is too long"))]
    TooLong,
}

/// A call to be made.
#[derive(Debug, Clone)]
pub struct Call {
    method: String,
    addr: SocketAddr,
    path: String,
    headers: Vec<HeaderField>,
    body: Vec<u8>,
    timeout: Duration,
    max_body: usize,
}

impl Call {
    /// Returns a call with no body, a timeout of 1 s and answers of at most 4 MiB.
    pub fn new(method: &str, addr: SocketAddr, path: &str) -> Call {
        Call {
            method: method.to_owned(),
            addr,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: Duration::from_millis(1000),
            max_body: 4 << 20,
        }
    }

    /// Adds a header field.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Call {
        self.headers.push(HeaderField::new(name, value));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: Vec<u8>) -> Call {
        self.body = body;
        self
    }

    /// Sets the time limit of the whole call.
    pub fn timeout(mut self, timeout: Duration) -> Call {
        self.timeout = timeout;
        self
    }

    /// Sets the longest answer in bytes.
    pub fn max_body(mut self, max: usize) -> Call {
        self.max_body = max;
        self
    }

    /// Makes the call and returns the whole answer.
    pub fn send(self) -> Result<Response, CallError> {
        let deadline = Instant::now() + self.timeout;
        let is_head = self.method == "HEAD";
        let method = Method::from_bytes(self.method.as_bytes()).map_err(|_| CallError::NotSent)?;
        let url = format!("http://{}{}", self.addr, self.path);
        let mut req = RequestBuilder::try_new(method, &url)
            .map_err(|_| CallError::NotSent)?
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .max_headers(MAX_HEADERS)
            .connect_timeout(CONNECT_TIMEOUT.min(self.timeout))
            .read_timeout(self.timeout);
        for f in &self.headers {
            let name = HeaderName::from_bytes(f.name.as_bytes());
            let value = HeaderValue::from_str(&f.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(CallError::NotSent);
            };
            req.headers_mut().append(name, value);
        }
        let response = req.bytes(self.body).send().map_err(classify)?;
        read_response(response, self.max_body, deadline, is_head)
    }
}

fn classify(err: attohttpc::Error) -> CallError {
    match err.kind() {
        ErrorKind::Io(e) => match e.kind() {
            IoKind::ConnectionRefused | IoKind::NetworkUnreachable | IoKind::HostUnreachable => {
                CallError::NotSent
            }
            IoKind::WouldBlock | IoKind::TimedOut => CallError::Timeout,
            _ => CallError::Broken,
        },
        ErrorKind::InvalidBaseUrl | ErrorKind::InvalidUrlHost | ErrorKind::InvalidUrlPort => {
            CallError::NotSent
        }
        ErrorKind::InvalidResponse(InvalidResponseKind::ContentLength) => CallError::Broken,
        _ => CallError::Broken,
    }
}

/// Tells whether a body without an announced length comes in chunks, whose end
/// the library checks, or ends with the connection, which proves nothing.
///
/// The library takes the field that says so out of the head, and shows it only
/// in the form for debugging; a contract test holds that.
fn is_chunked(reader: &ResponseReader) -> bool {
    format!("{reader:?}").contains("Chunked(")
}

fn read_response(
    response: attohttpc::Response,
    max_bytes: usize,
    deadline: Instant,
    is_head: bool,
) -> Result<Response, CallError> {
    let (status, raw_headers, mut reader) = response.split();
    let content_length = raw_headers
        .get(CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.trim().parse::<usize>().ok());
    let chunked = content_length.is_none() && is_chunked(&reader);
    let has_no_body = is_head || matches!(status.as_u16(), 204 | 304);
    if !has_no_body && content_length.is_some_and(|n| n > max_bytes) {
        return Err(CallError::TooLong);
    }
    let body = if has_no_body {
        Vec::new()
    } else {
        read_body(
            &mut reader,
            content_length.unwrap_or(0),
            max_bytes,
            deadline,
        )?
    };
    let whole = chunked || has_no_body || content_length == Some(body.len());
    if !whole {
        return Err(CallError::Broken);
    }
    let mut headers = Vec::with_capacity(raw_headers.len());
    for (name, value) in &raw_headers {
        let Ok(value) = value.to_str() else { continue };
        headers.push(HeaderField::new(name.as_str(), value));
    }
    Ok(Response {
        status: status.as_u16(),
        headers,
        body,
    })
}

fn read_body(
    reader: &mut ResponseReader,
    content_length: usize,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Vec<u8>, CallError> {
    let mut body = Vec::with_capacity(content_length);
    let mut chunk = [0u8; 16 * 1024];
    loop {
        if Instant::now() >= deadline {
            return Err(CallError::Timeout);
        }
        let n = match reader.read(&mut chunk) {
            Ok(0) => return Ok(body),
            Ok(n) => n,
            Err(e) if e.kind() == IoKind::Interrupted => continue,
            Err(e) if matches!(e.kind(), IoKind::WouldBlock | IoKind::TimedOut) => {
                return Err(CallError::Timeout);
            }
            Err(_) => return Err(CallError::Broken),
        };
        body.extend_from_slice(&chunk[..n]);
        if body.len() > max_bytes {
            return Err(CallError::TooLong);
        }
    }
}
