//! A periodic log line with the load of the workers.

use crate::{runs::worker::Capacity, scheduler::Scheduler};

const LOG_PERIOD_MS: u64 = 1000;

impl Scheduler {
    /// Logs the load of the workers and the numbers of waiting and running tasks.
    pub(crate) fn log_load(&mut self) {
        if self.now < self.last_load_log + LOG_PERIOD_MS {
            return;
        }
        self.last_load_log = self.now;
        let mut capacity = Capacity::default();
        let mut used = Capacity::default();
        let (mut best_effort_cpu, mut open, mut serving_cpu) = (0, 0, 0);
        for worker in &self.fleet.workers {
            if !worker.accepts_runs(self.now) {
                continue;
            }
            open += 1;
            capacity.cpu += worker.capacity().cpu;
            capacity.memory += worker.capacity().memory;
            used.cpu += worker.used.cpu;
            used.memory += worker.used.memory;
            best_effort_cpu += worker.best_effort_cpu;
            serving_cpu += worker.serving_cpu;
        }
        let (mut waiting, mut running, mut slowed) = (0, 0_u32, 0);
        for id in &self.open_jobs {
            let Some(state) = self.jobs.get(id) else {
                continue;
            };
            for task in state.repetitions.iter().flatten().flat_map(|s| &s.tasks) {
                let Some(run) = &task.run else {
                    waiting += u32::from(!task.done);
                    continue;
                };
                running += 1;
                slowed += u32::from(run.wanted_pace < 100);
            }
        }
        self.stats.running = u64::from(running);
        self.log_shortages();
        let isolation = self.isolation_load();
        self.stats.late_jobs = self.late_jobs as u64;
        self.stats.waiting_suspects = isolation.waiting as u64;
        self.stats.isolating_workers = isolation.isolating as u64;
        self.stats.stopping = self.stopping.len() as u64;
        log::info!(
            workers = open, cpu = capacity.cpu, cpu_used = used.cpu, serving = serving_cpu,
            filling = best_effort_cpu, age_ms = self.fleet.age(self.now),
            memory = capacity.memory, memory_used = used.memory,
            jobs = self.open_jobs.len(), waiting, running, slowed,
            stopping = self.stopping.len(), moved = self.stats.moved,
            late = self.late_jobs, window:? = self.window.limit(),
            unanswered = self.unanswered_starts(), held = self.stats.throttled_passes,
            stale = self.stats.skipped_passes, passes = self.stats.passes,
            suspects = isolation.waiting, likely = isolation.waiting_likely,
            apart = isolation.isolating, apart_held = isolation.held, apart_max = isolation.max_isolating,
            short_queues = self.stats.short_queues, stranded = self.stats.stranded_cpu;
            "owner: load"
        );
        self.log_starved_jobs();
    }
}
