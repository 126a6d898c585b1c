//! Parses messages incrementally from a growing buffer, with `httparse`.

use crate::{
    error::{HttpError, MalformedSnafu, TooLargeSnafu},
    message::{Method, Request, Response},
};

/// Maximum number of header fields of a message.
const MAX_HEADERS: usize = 64;

/// Limits on the size of a message, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest head, that is the first line and the header fields.
    pub head_bytes: usize,
    /// Largest body.
    pub body_bytes: usize,
}

impl Default for Limits {
    /// Returns limits that the platform's responses fit in: 16 KiB and 16 MiB.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 16 << 20,
        }
    }
}

/// Framing by the header fields, and the remaining fields.
struct Framing {
    content_length: Option<usize>,
    keep_alive: bool,
    headers: Vec<(String, String)>,
}

/// Parses a request at the start of `buf`.
///
/// Returns the request and its length in bytes, or `None` if it is not whole yet.
pub fn parse_request(buf: &[u8], limits: Limits) -> Result<Option<(Request, usize)>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let size = match head.parse(buf) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return check_partial(buf, limits),
        Err(_) => {
            return MalformedSnafu {
                reason: "invalid request head",
            }
            .fail();
        }
    };
    let framing = parse_framing(head.headers)?;
    let Some(body) = take_body(buf, size, framing.content_length.unwrap_or(0), limits)? else {
        return Ok(None);
    };
    let request = Request {
        method: Method::parse(head.method.unwrap_or_default()),
        path: head.path.unwrap_or_default().to_owned(),
        headers: framing.headers,
        body: body.to_vec(),
        keep_alive: framing.keep_alive,
    };
    Ok(Some((request, size + body.len())))
}

/// Parses a response at the start of `buf`, like [`parse_request`]. The length includes interim
/// responses before it.
pub fn parse_response(buf: &[u8], limits: Limits) -> Result<Option<(Response, usize)>, HttpError> {
    let mut start = 0;
    while let Some((response, size)) = parse_one_response(&buf[start..], limits)? {
        start += size;
        if !is_interim(response.status) {
            return Ok(Some((response, start)));
        }
    }
    Ok(None)
}

/// Returns whether a response with this status is followed by another one to the same request.
fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

/// Parses a response, which may be an interim one.
fn parse_one_response(buf: &[u8], limits: Limits) -> Result<Option<(Response, usize)>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut fields);
    let size = match head.parse(buf) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return check_partial(buf, limits),
        Err(_) => {
            return MalformedSnafu {
                reason: "invalid response head",
            }
            .fail();
        }
    };
    let framing = parse_framing(head.headers)?;
    let status = head.code.unwrap_or_default();
    let length = match (framing.content_length, status) {
        // An interim response has no body, whatever its header fields contain.
        (_, status) if is_interim(status) => 0,
        (Some(length), _) => length,
        (None, 204 | 304) => 0,
        (None, _) => {
            return MalformedSnafu {
                reason: "response without content-length",
            }
            .fail();
        }
    };
    let Some(body) = take_body(buf, size, length, limits)? else {
        return Ok(None);
    };
    let response = Response {
        status,
        headers: framing.headers,
        body: body.to_vec(),
        keep_alive: framing.keep_alive,
    };
    Ok(Some((response, size + body.len())))
}

fn check_partial<T>(buf: &[u8], limits: Limits) -> Result<Option<T>, HttpError> {
    if buf.len() > limits.head_bytes {
        return TooLargeSnafu {
            limit: limits.head_bytes,
        }
        .fail();
    }
    Ok(None)
}

fn take_body(
    buf: &[u8],
    start: usize,
    length: usize,
    limits: Limits,
) -> Result<Option<&[u8]>, HttpError> {
    if length > limits.body_bytes {
        return TooLargeSnafu {
            limit: limits.body_bytes,
        }
        .fail();
    }
    Ok(buf.get(start..start + length))
}

fn parse_framing(fields: &[httparse::Header<'_>]) -> Result<Framing, HttpError> {
    let mut out = Framing {
        content_length: None,
        keep_alive: true,
        headers: Vec::new(),
    };
    for field in fields {
        let name = field.name.to_ascii_lowercase();
        let Ok(value) = std::str::from_utf8(field.value) else {
            return MalformedSnafu {
                reason: "header field is not valid UTF-8",
            }
            .fail();
        };
        let value = value.trim();
        match name.as_str() {
            "content-length" => {
                out.content_length = Some(parse_content_length(value, out.content_length)?)
            }
            "transfer-encoding" => {
                return MalformedSnafu {
                    reason: "transfer-encoding is not supported",
                }
                .fail();
            }
            "connection" => out.keep_alive = !value.eq_ignore_ascii_case("close"),
            _ => out.headers.push((name, value.to_owned())),
        }
    }
    Ok(out)
}

fn parse_content_length(value: &str, earlier: Option<usize>) -> Result<usize, HttpError> {
    let Ok(length) = value.parse() else {
        return MalformedSnafu {
            reason: "invalid content-length",
        }
        .fail();
    };
    if earlier.is_some_and(|e| e != length) {
        return MalformedSnafu {
            reason: "conflicting content-length fields",
        }
        .fail();
    }
    Ok(length)
}
