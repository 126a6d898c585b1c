//! Cancellation by SIGTERM and SIGINT.

use std::{io, thread};

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::cancel::CancelToken;

/// Cancels `cancel` at the first SIGTERM or SIGINT.
///
/// Fails if the signal handler can't be installed.
pub fn cancel_on_signal(cancel: &CancelToken) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let cancel = cancel.clone();
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            if let Some(signal) = signals.forever().next() {
                log::info!("signals: stopping on signal {signal}");
                cancel.cancel();
            }
        })?;
    Ok(())
}
