//! The thread pool for exchanges with workers, shared by all shards.

use std::{net::SocketAddr, sync::Arc, thread};

use flume::{Receiver, Sender};
use gorsespur_core::{
    name::Name,
    shard::{Event, WorkerRequest},
};
use gorsespur_services::Workers;

use crate::input::Input;

/// Maximum number of exchanges that wait for a thread.
const QUEUE_CAPACITY: usize = 4_096;

/// A request to a worker; `reply` receives the answer or its failure.
pub(crate) struct Exchange {
    pub worker: Name,
    pub addr: SocketAddr,
    pub request: WorkerRequest,
    pub reply: Sender<Input>,
}

/// Starts the pool, which ends when every sender is dropped.
pub(crate) fn start(
    workers: &Arc<dyn Workers>,
    threads: usize,
) -> std::io::Result<Sender<Exchange>> {
    let (tx, rx) = flume::bounded(QUEUE_CAPACITY);
    for i in 0..threads {
        let (workers, rx) = (workers.clone(), rx.clone());
        thread::Builder::new()
            .name(format!("exchange-{i}"))
            .spawn(move || run(workers.as_ref(), &rx))?;
    }
    Ok(tx)
}

fn run(workers: &dyn Workers, rx: &Receiver<Exchange>) {
    for exchange in rx.iter() {
        let seq = exchange.request.seq;
        let worker = exchange.worker;
        let event = match workers.exchange(exchange.addr, &exchange.request) {
            Ok(answer) => Event::Answer { worker, answer },
            Err(_) => Event::NoAnswer { worker, seq },
        };
        let _ = exchange.reply.send(Input::Event(event));
    }
}
