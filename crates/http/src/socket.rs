//! Options of sockets.

use std::{net::SocketAddr, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// Sent bytes that stay unacknowledged for this long end a connection; behind a
/// cut it would hang otherwise.
const USER_TIMEOUT: Duration = Duration::from_millis(3000);

/// Sets what every connection needs; a socket without it still works, later.
pub(crate) fn set_options<'a, S>(socket: &'a S)
where
    SockRef<'a>: From<&'a S>,
{
    let socket = SockRef::from(socket);
    if let Err(err) = socket.set_tcp_nodelay(true) {
        log::debug!("http: no TCP_NODELAY: {err}");
    }
    if let Err(err) = socket.set_tcp_user_timeout(Some(USER_TIMEOUT)) {
        log::debug!("http: no TCP_USER_TIMEOUT: {err}");
    }
}

/// A connection on which nothing came for this long is probed, again after as long; one whose
/// probe stays unanswered has ended, however long its answer may take.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Has the system find out that a peer can't be reached while its answer is waited for.
pub(crate) fn enable_keepalive<'a, S>(socket: &'a S)
where
    SockRef<'a>: From<&'a S>,
{
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    if let Err(err) = SockRef::from(socket).set_tcp_keepalive(&probes) {
        log::debug!("http: no TCP keep-alive: {err}");
    }
}

/// Connections that may wait to be accepted; a full queue costs callers seconds.
const BACKLOG: i32 = 512;

/// Binds a listener whose address may have been in use a moment ago.
pub(crate) fn listen(addr: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
