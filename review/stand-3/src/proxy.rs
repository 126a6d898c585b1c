//! A proxy before a worker, which cuts it off: new connections are refused, or nothing is said.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Connections are reset, and new ones are refused.
    Refuse,
    /// Nothing passes, and nothing is said.
    Silent,
}

struct State {
    mode: Mode,
    target: SocketAddr,
}

pub struct Proxy {
    pub addr: SocketAddr,
    state: Mutex<State>,
    /// Raised when all open connections have to end.
    epoch: AtomicU64,
    /// When the last `/hold` passed.
    held_at: Mutex<Option<Instant>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        let proxy = Arc::new(Proxy {
            addr: listener.local_addr().expect("address"),
            state: Mutex::new(State {
                mode: Mode::Pass,
                target,
            }),
            epoch: AtomicU64::new(0),
            held_at: Mutex::default(),
        });
        let own = proxy.clone();
        thread::spawn(move || own.accept(listener));
        proxy
    }

    /// Sets the mode. Connections that were open before don't come back from a cut.
    pub fn set(&self, mode: Mode) {
        let mut state = self.state.lock().expect("lock");
        if mode != Mode::Silent {
            self.epoch.fetch_add(1, Ordering::SeqCst);
        }
        state.mode = mode;
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().expect("lock").target = target;
    }

    /// Waits until the last `/hold` passed `ms` to `ms + 60` milliseconds ago, for two seconds at
    /// most.
    pub fn await_phase(&self, ms: u64) {
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until {
            let held_at = *self.held_at.lock().expect("lock");
            let since = held_at.map_or(0, |at| at.elapsed().as_millis() as u64);
            if (ms..ms + 60).contains(&since) {
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn mode(&self) -> Mode {
        self.state.lock().expect("lock").mode
    }

    fn accept(self: Arc<Proxy>, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            thread::sleep(Duration::from_millis(1));
            if self.mode() == Mode::Refuse {
                listener = None;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.addr).ok();
            }
            let Some(open) = &listener else {
                continue;
            };
            if open.set_nonblocking(true).is_err() {
                continue;
            }
            while let Ok((stream, _)) = open.accept() {
                let own = self.clone();
                thread::spawn(move || own.serve(stream));
            }
        }
    }

    fn serve(&self, from: TcpStream) {
        let epoch = self.epoch.load(Ordering::SeqCst);
        // While nothing passes, the connection stays open and says nothing.
        while self.mode() == Mode::Silent {
            thread::sleep(Duration::from_millis(5));
            if self.epoch.load(Ordering::SeqCst) != epoch {
                return;
            }
        }
        let target = self.state.lock().expect("lock").target;
        let Ok(to) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(from_2), Ok(to_2)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        thread::scope(|scope| {
            scope.spawn(|| self.pump(from, to, epoch));
            self.pump(to_2, from_2, epoch);
        });
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, epoch: u64) {
        let _ = from.set_nonblocking(false);
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let _ = to.set_nodelay(true);
        let mut buffer = [0; 16 << 10];
        while self.epoch.load(Ordering::SeqCst) == epoch {
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) if self.mode() != Mode::Pass => {}
                Ok(n) => {
                    if buffer[..n].starts_with(b"POST /hold ") {
                        *self.held_at.lock().expect("lock") = Some(Instant::now());
                    }
                    if to.write_all(&buffer[..n]).is_err() {
                        break;
                    }
                }
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
