//! HTTP calls with `attohttpc`, plus the checks that it lacks.
//!
//! Redirects, proxies from the environment and compression are disabled. A body
//! is whole only if its length matches `Content-Length` or its last chunk has
//! arrived. Each call opens a connection, as the library has no connection pool.

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

/// Longest time of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum number of header fields of a response.
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
    /// Creates a field; the name is converted to lower case.
    pub fn new(name: &str, value: impl Into<String>) -> HeaderField {
        HeaderField {
            name: name.to_ascii_lowercase(),
            value: value.into(),
        }
    }
}

/// Returns the value of the first field with this name (lower case).
pub fn find_header<'a>(headers: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|f| f.name == name)?;
    Some(&found.value)
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// An error of a call without a whole response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// Nothing was sent: the connection failed or the call is malformed.
    #[snafu(display("nothing was sent"))]
    NotSent,
    /// The call timed out; the peer may have acted on the request.
    #[snafu(display("timeout"))]
    Timeout,
    /// The connection broke, or the response is truncated or malformed.
    #[snafu(display("connection broke or response is truncated"))]
    Broken,
    /// The body of the response exceeds the limit.
    #[snafu(display("response is too long"))]
    TooLong,
}

/// A request to be sent, with its limits.
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
    /// Creates a call without a body, with a timeout of 1 s and a response body of at most 4 MiB.
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

    /// Sets the timeout of the whole call.
    pub fn timeout(mut self, timeout: Duration) -> Call {
        self.timeout = timeout;
        self
    }

    /// Sets the size limit of the response's body in bytes.
    pub fn max_body(mut self, max: usize) -> Call {
        self.max_body = max;
        self
    }

    /// Sends the request and returns the whole response.
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

/// Returns whether a body without `Content-Length` is chunked. The library checks the end of
/// a chunked body; any other body may have been truncated by the end of the connection.
///
/// The library removes the `Transfer-Encoding` field and shows the encoding only in its `Debug`
/// output; a contract test checks that this still works.
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
