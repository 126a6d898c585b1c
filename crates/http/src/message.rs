//! Requests and responses, and their encoding.

use std::io::Write;

/// Supported request methods.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Reads a resource.
    Get,
    /// Creates or changes a resource.
    Post,
    /// Stores a resource under the given path.
    Put,
    /// Removes a resource.
    Delete,
    /// Any other method; servers reject it.
    Other,
}

impl Method {
    /// Returns the method's name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Delete => "DELETE",
            Method::Other => "OPTIONS",
        }
    }

    /// Parses a method name from the wire.
    pub fn parse(name: &str) -> Method {
        match name {
            "GET" => Method::Get,
            "POST" => Method::Post,
            "PUT" => Method::Put,
            "DELETE" => Method::Delete,
            _ => Method::Other,
        }
    }
}

/// An HTTP request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Path with the query.
    pub path: String,
    /// Header fields except those for framing; parsed names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// Whether the sender keeps the connection open after this request.
    pub keep_alive: bool,
}

impl Request {
    /// Creates a request without header fields.
    pub fn new(method: Method, path: impl Into<String>, body: Vec<u8>) -> Request {
        Request {
            method,
            path: path.into(),
            headers: Vec::new(),
            body,
            keep_alive: true,
        }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Request {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Returns the value of the first header field with this name (lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Appends the encoded request to `out`; adds a `host` field unless there is one.
    pub fn encode(&self, host: &str, out: &mut Vec<u8>) {
        let head = format!("{} {} HTTP/1.1\r\n", self.method.name(), self.path);
        out.extend_from_slice(head.as_bytes());
        if self.header("host").is_none() {
            let host = format!("host: {host}\r\n");
            out.extend_from_slice(host.as_bytes());
        }
        encode_headers(&self.headers, out);
        let has_body = !self.body.is_empty() || self.method == Method::Post;
        encode_body(out, has_body.then_some(self.body.as_slice()));
    }
}

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields except those for framing; parsed names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after this response.
    pub keep_alive: bool,
}

impl Response {
    /// Creates a response without header fields.
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            headers: Vec::new(),
            body,
            keep_alive: true,
        }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Response {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Returns the value of the first header field with this name (lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Appends the encoded response to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        if !self.keep_alive {
            out.extend_from_slice(b"connection: close\r\n");
        }
        encode_headers(&self.headers, out);
        encode_body(out, Some(&self.body));
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n == name);
    found.map(|(_, v)| v.as_str())
}

fn encode_headers(headers: &[(String, String)], out: &mut Vec<u8>) {
    for (name, value) in headers {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
}

fn encode_body(out: &mut Vec<u8>, body: Option<&[u8]>) {
    let Some(body) = body else {
        out.extend_from_slice(b"\r\n");
        return;
    };
    let _ = write!(out, "content-length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
