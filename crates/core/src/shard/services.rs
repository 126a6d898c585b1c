//! Services of the templates as jobs of the shard, with a task for each replica.

use super::{JobKey, JobSpec, Record, ShardScheduler};
use crate::{
    Millis,
    name::Name,
    template::{Organisation, Priority, Service},
};

/// Prefix of the job ids of services; callers' ids can't contain it.
const SERVICE_ID_PREFIX: char = '@';

/// Limit on failed attempts of replicas, which are always retried.
const UNLIMITED_ATTEMPTS: u32 = u32::MAX / 8;

impl ShardScheduler {
    /// Creates and resizes the jobs of all services to this shard's share of the replicas in the
    /// templates.
    ///
    /// Does nothing until the numbers of workers have been received.
    pub(super) fn sync_services(&mut self, now: Millis) {
        if self.worker_counts.is_empty() {
            return;
        }
        let orgs = self.orgs.clone();
        for org in &orgs {
            for service in &org.services {
                self.sync_service(now, org, service);
            }
        }
        self.remove_services(now);
    }

    fn sync_service(&mut self, now: Millis, org: &Organisation, service: &Service) {
        let tasks = replica_share(service.replicas, self.shard.index, &self.worker_counts);
        let key = service_key(&org.name, &service.name);
        let Some(job) = self.state.find(&key) else {
            let spec = service_spec(key, service, tasks);
            self.append_record(now, Record::Submitted(spec), 0);
            return;
        };
        if job.spec.tasks != tasks && !job.cancelled {
            let job = job.number;
            self.append_record(now, Record::Resized { job, tasks }, 0);
        }
    }

    /// Resizes services that are no longer in a template to no replicas.
    fn remove_services(&mut self, now: Millis) {
        let mut removed = Vec::new();
        for job in self.state.jobs() {
            if !job.spec.service || job.spec.tasks == 0 {
                continue;
            }
            let org = self.orgs.iter().find(|o| o.name == job.spec.key.org);
            let Some(org) = org else { continue };
            if org.service(&job.spec.kind).is_none() {
                removed.push(job.number);
            }
        }
        for job in removed {
            self.append_record(now, Record::Resized { job, tasks: 0 }, 0);
        }
    }
}

/// Returns the key of the job of a service.
fn service_key(org: &Name, service: &Name) -> JobKey {
    JobKey {
        org: org.clone(),
        id: format!("{SERVICE_ID_PREFIX}{service}").into(),
    }
}

/// Returns how many of `total` replicas belong to shard `index`, in proportion to the workers of
/// the shards. The shares of all shards sum to `total`.
fn replica_share(total: u32, index: u32, counts: &[u32]) -> u32 {
    let workers_before = |n: usize| counts.iter().take(n).map(|c| u64::from(*c)).sum::<u64>();
    let total_workers = workers_before(counts.len());
    if total_workers == 0 {
        return 0;
    }
    let replicas_before = |n: usize| u64::from(total) * workers_before(n) / total_workers;
    let i = index as usize;
    (replicas_before(i + 1) - replicas_before(i)) as u32
}

fn service_spec(key: JobKey, service: &Service, tasks: u32) -> JobSpec {
    JobSpec {
        key,
        kind: service.name.clone(),
        team: Name::from(""),
        tasks,
        size: service.size,
        run_time: 0,
        priority: Priority::Urgent,
        checkpoint: false,
        attempts: UNLIMITED_ATTEMPTS,
        service: true,
    }
}
