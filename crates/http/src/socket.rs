//! Socket options.

use std::{net::SocketAddr, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// A connection whose sent bytes stay unacknowledged for this long is closed. Otherwise it would
/// hang when the network is partitioned.
const USER_TIMEOUT: Duration = Duration::from_millis(3000);

/// Sets the options of every connection. Errors are only logged: without the options a connection
/// works, but sends and detects failures later.
pub(crate) fn set_options<'a, S>(socket: &'a S)
where
    SockRef<'a>: From<&'a S>,
{
    let socket = SockRef::from(socket);
    if let Err(err) = socket.set_tcp_nodelay(true) {
        log::debug!("http: can't set TCP_NODELAY: {err}");
    }
    if let Err(err) = socket.set_tcp_user_timeout(Some(USER_TIMEOUT)) {
        log::debug!("http: can't set TCP_USER_TIMEOUT: {err}");
    }
}

/// Time without received data after which a connection is probed, and between two probes. A
/// connection whose probes stay unanswered is closed, however long its response may take.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Enables TCP keep-alive, which detects an unreachable peer while a response is awaited.
pub(crate) fn enable_keepalive<'a, S>(socket: &'a S)
where
    SockRef<'a>: From<&'a S>,
{
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    if let Err(err) = SockRef::from(socket).set_tcp_keepalive(&probes) {
        log::debug!("http: can't enable TCP keep-alive: {err}");
    }
}

/// Connections that may wait to be accepted; a full backlog delays callers by seconds.
const BACKLOG: i32 = 512;

/// Binds a listener; reuses an address that was in use recently.
pub(crate) fn listen(addr: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
