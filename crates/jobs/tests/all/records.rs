//! Checkpoints over ends, lost workers, late answers and takeovers: each start brings one that
//! its own task has listed, or none.

use std::{collections::BTreeMap, sync::Arc};

use gorsespur_jobs::{
    Action, Answer, Capacity, End, Ending, Event, Job, JobId, Look, Machine, Outcome, QueuePolicy,
    Record, Running, Schedule, Settings, Spec, StartOrder, Started, Step, Stopped, Takeover,
    TaskId, WorkerInfo,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use test_case::test_case;

/// Milliseconds of one step of a play.
const TICK: u64 = 50;

/// Workers of a play.
const WORKERS: usize = 3;

/// A run on a worker.
#[derive(Debug)]
struct Run {
    task: TaskId,
    number: u32,
    saved: Arc<str>,
}

/// One life of a worker.
#[derive(Debug)]
struct Life {
    id: Arc<str>,
    fence: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    next: u64,
    /// Runs at or below these never begin any more.
    barred: Vec<(TaskId, u32)>,
}

impl Life {
    fn new(id: String) -> Life {
        Life {
            id: id.into(),
            fence: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            next: 1,
            barred: Vec::new(),
        }
    }

    fn info(&self, at: usize) -> WorkerInfo {
        WorkerInfo {
            born: None,
            id: self.id.clone(),
            addr: format!("127.0.0.1:{}", 1000 + at).parse().expect("address"),
            service: "s".into(),
            zone: "z".into(),
            labels: Vec::new(),
            rack: "r".into(),
            capacity: Capacity {
                cpu: 100_000,
                memory: 100_000,
                gpu: 0,
            },
            ready: true,
            remaining: 0,
        }
    }

    fn start(&mut self, order: &StartOrder, fence: u64) -> Started {
        if fence < self.fence {
            return Started::Fenced;
        }
        self.fence = fence;
        let (task, number) = (order.task, order.run);
        if self
            .runs
            .iter()
            .any(|r| (r.task, r.number) == (task, number))
        {
            return Started::Done;
        }
        let barred = self.barred.iter().any(|b| b.0 == task && b.1 >= number);
        if barred || self.runs.iter().any(|r| r.task == task) {
            return Started::Old;
        }
        self.runs.push(Run {
            task,
            number,
            saved: order.saved.clone(),
        });
        Started::Done
    }

    fn end(&mut self, at: usize, ending: Ending) {
        let run = self.runs.remove(at);
        self.barred.push((run.task, run.number));
        self.ends.push(End {
            number: self.next,
            task: run.task,
            run: run.number,
            ending,
            saved: run.saved,
        });
        self.next += 1;
    }

    fn stop(&mut self, task: TaskId, number: u32, fence: u64) -> Stopped {
        if fence < self.fence {
            return Stopped::Fenced;
        }
        self.fence = fence;
        self.barred.push((task, number));
        let at = self
            .runs
            .iter()
            .position(|r| (r.task, r.number) == (task, number));
        if let Some(at) = at {
            self.end(at, Ending::Stopped);
        }
        Stopped::Done
    }

    fn look(&mut self, clock: u64, observed: u64, fence: u64) -> Answer {
        if fence < self.fence {
            return Answer::Fenced;
        }
        self.fence = fence;
        self.ends.retain(|e| e.number > observed);
        let rows = self.runs.iter().map(|r| Running {
            task: r.task,
            run: r.number,
            saved: r.saved.clone(),
            percent: 50,
            figure: None,
        });
        Answer::Looked(Look {
            born: None,
            clock,
            running: rows.collect(),
            finished: self.ends.clone(),
        })
    }
}

/// What is on its way, and when it arrives.
#[derive(Debug)]
enum Parcel {
    /// An answer to the owner of an epoch.
    Answer(u64, u32, u64, Answer),
    /// A start that its sender has given up.
    Start(Arc<str>, u64, StartOrder),
    /// Records of the owner of an epoch.
    Records(u64, Vec<(JobId, Vec<u8>)>),
}

/// Owners, one after another, with workers, a store, and a judge of the starts.
struct Play {
    rng: SmallRng,
    now: u64,
    epoch: u64,
    machine: Machine,
    lives: Vec<Life>,
    /// Texts that were made so far.
    made: u64,
    jobs: BTreeMap<JobId, Arc<Job>>,
    records: BTreeMap<JobId, Vec<u8>>,
    parcels: Vec<(u64, Parcel)>,
    /// What each task has listed to an owner that read it.
    listed: BTreeMap<TaskId, Vec<Arc<str>>>,
    /// Starts that brought a checkpoint.
    brought: usize,
    starts: Vec<StartOrder>,
    /// Whether no run ends, no worker crashes and no owner is followed by another.
    calm: bool,
}

impl Play {
    fn new(seed: u64, jobs: Vec<Job>) -> Play {
        let now = 1_000_000;
        let jobs = jobs.into_iter().map(|j| (j.id, Arc::new(j)));
        let mut play = Play {
            rng: SmallRng::seed_from_u64(seed),
            now,
            epoch: 0,
            machine: machine(now),
            lives: (0..WORKERS).map(|at| Life::new(format!("w{at}"))).collect(),
            made: 0,
            jobs: jobs.collect(),
            records: BTreeMap::new(),
            parcels: Vec::new(),
            listed: BTreeMap::new(),
            brought: 0,
            starts: Vec::new(),
            calm: false,
        };
        play.take_over();
        play
    }

    /// A new owner reads the rows, in any order.
    fn take_over(&mut self) {
        self.epoch += 1;
        self.machine = machine(self.now);
        let mut ids: Vec<JobId> = self.jobs.keys().copied().collect();
        ids.shuffle(&mut self.rng);
        for id in ids {
            let job = self.jobs[&id].clone();
            match self.records.get(&id) {
                Some(record) => {
                    let record = Record::decode(record).expect("own record");
                    assert!(record.fits(&job.spec));
                    self.machine.restore(job, &record);
                }
                None => self.tell(Event::Accepted(job)),
            }
        }
        self.tell(Event::Queues(vec![QueuePolicy {
            queue: "q".into(),
            service: "s".into(),
            priority: 0,
            attempts: 1000,
            stretch: 1.5,
            latency: 250,
        }]));
        for at in 0..self.lives.len() {
            self.tell(Event::Worker(self.lives[at].info(at)));
        }
    }

    fn tell(&mut self, event: Event) {
        self.machine.handle(self.now, self.now, event);
    }

    /// Milliseconds that something takes.
    fn delay(&mut self) -> u64 {
        self.rng.random_range(0..4) * TICK
    }

    fn step(&mut self) {
        self.now += TICK;
        if !self.calm {
            self.work();
        }
        let due = self.parcels.extract_if(.., |p| p.0 <= self.now);
        for (_, parcel) in due.collect::<Vec<_>>() {
            self.deliver(parcel);
        }
        let asked = self.now;
        self.tell(Event::Current { asked });
        self.tell(Event::Renewed { asked });
        for action in self.machine.settle(self.now, self.now) {
            self.act(action);
        }
    }

    /// Runs save their progress and end; workers crash, and owners are followed by others.
    fn work(&mut self) {
        for life in &mut self.lives {
            let mut at = 0;
            while at < life.runs.len() {
                let run = &mut life.runs[at];
                if self.rng.random_range(0..3) == 0 {
                    self.made += 1;
                    run.saved =
                        format!("{} {} {} {}", run.task, run.number, life.id, self.made).into();
                }
                let ending = match self.rng.random_range(0..400) {
                    0 => Ending::Done,
                    1..4 => Ending::Failed,
                    4..7 => Ending::Stopped,
                    7..9 => Ending::Lapsed,
                    _ => {
                        at += 1;
                        continue;
                    }
                };
                life.end(at, ending);
            }
        }
        if self.rng.random_range(0..60) == 0 {
            let at = self.rng.random_range(0..WORKERS);
            self.made += 1;
            self.lives[at] = Life::new(format!("w{at}.{}", self.made));
            self.tell(Event::Worker(self.lives[at].info(at)));
        }
        if self.rng.random_range(0..60) == 0 {
            self.take_over();
        }
    }

    fn deliver(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Answer(epoch, worker, sent, answer) if epoch == self.epoch => {
                if let Answer::Looked(look) = &answer {
                    let running = look.running.iter().map(|r| (r.task, &r.saved));
                    let ended = look.finished.iter().map(|e| (e.task, &e.saved));
                    for (task, saved) in running.chain(ended) {
                        self.listed.entry(task).or_default().push(saved.clone());
                    }
                }
                self.tell(Event::Answer {
                    worker,
                    sent,
                    answer,
                });
            }
            Parcel::Start(life, fence, order) => {
                if let Some(life) = self.lives.iter_mut().find(|l| l.id == life) {
                    life.start(&order, fence);
                }
            }
            // Each write is on condition that no other owner has written since.
            Parcel::Records(epoch, records) if epoch == self.epoch => {
                self.records.extend(records);
                // Its answer may be lost, and with it what the owner knows of it.
                if !self.calm && self.rng.random_range(0..40) == 0 {
                    return self.take_over();
                }
                let asked = self.now;
                self.tell(Event::Committed { asked });
            }
            Parcel::Answer(..) | Parcel::Records(..) => {}
        }
    }

    fn act(&mut self, action: Action) {
        let (worker, answer) = match action {
            Action::Look {
                worker, observed, ..
            } => {
                let (clock, fence) = (self.now, self.epoch);
                let life = self.life(worker);
                let answer = life.map_or(Answer::Dead, |l| l.look(clock, observed, fence));
                (worker, answer)
            }
            Action::Start(worker, order) => (worker, self.start(worker, order)),
            Action::Stop { worker, task, run } => {
                let fence = self.epoch;
                let life = self.life(worker);
                let answer = life.map_or(Answer::Dead, |l| {
                    Answer::Stopped(task, run, l.stop(task, run, fence))
                });
                (worker, answer)
            }
            Action::Commit(records) => {
                let due = self.now + self.delay();
                self.parcels
                    .push((due, Parcel::Records(self.epoch, records)));
                return;
            }
            Action::Pace { .. } | Action::Depose => panic!("not expected"),
        };
        let due = self.now + self.delay();
        let parcel = Parcel::Answer(self.epoch, worker, self.now, answer);
        self.parcels.push((due, parcel));
    }

    /// Returns the life that the owner means by a worker, if that has not ended.
    fn life(&mut self, worker: u32) -> Option<&mut Life> {
        let (_, id) = self.machine.worker(worker).expect("announced");
        self.lives.iter_mut().find(|l| l.id == id)
    }

    fn start(&mut self, worker: u32, order: StartOrder) -> Answer {
        let task = order.task;
        self.starts.push(order.clone());
        assert_eq!(&*order.spec.text, format!("text of {}", task.job));
        if !order.saved.is_empty() {
            self.brought += 1;
            let step = &order.spec.steps[task.step as usize];
            // That of any member of a gang is good for all.
            let members = match step.gang {
                true => 0..step.count,
                false => task.index..task.index + 1,
            };
            let mut listed = members.filter_map(|index| self.listed.get(&TaskId { index, ..task }));
            let own = listed.any(|l| l.contains(&order.saved));
            assert!(own, "{task} brings {}", order.saved);
        }
        let fence = self.epoch;
        if !self.calm && self.rng.random_range(0..20) == 0 {
            // It gets no answer, and is carried out later.
            let (_, id) = self.machine.worker(worker).expect("announced");
            let due = self.now + 10 * TICK;
            let answer = Answer::Started(task, order.run, Started::Unknown);
            self.parcels.push((due, Parcel::Start(id, fence, order)));
            return answer;
        }
        let life = self.life(worker);
        life.map_or(Answer::Dead, |l| {
            Answer::Started(task, order.run, l.start(&order, fence))
        })
    }
}

/// A machine of a new owner.
fn machine(now: u64) -> Machine {
    let takeover = Takeover {
        asked: now,
        inherited: now + 1000,
    };
    Machine::new(Settings::default(), now, takeover)
}

/// A job of two steps, the second one after the first, at several times.
fn job(id: u64, schedule: Schedule) -> Job {
    let id = JobId(id);
    let step = Step {
        count: 3,
        cpu: 100,
        memory: 1,
        estimate: 100_000,
        checkpoints: true,
        ..Step::default()
    };
    let steps = vec![
        step.clone(),
        Step {
            count: 2,
            deps: vec![0],
            ..step
        },
    ];
    Job {
        id,
        queue: "q".into(),
        accepted: 0,
        spec: Arc::new(Spec {
            text: format!("text of {id}").into(),
            steps,
            schedule,
        }),
    }
}

/// Names that are alike, several steps, and times of one job that overlap: the checkpoint of one
/// task is another one's under no order of answers, whoever wrote the record.
#[test_case(0; "once")]
#[test_case(3; "three times")]
fn a_start_brings_what_its_own_task_listed(times: u32) {
    for seed in 0..10 {
        let schedule = Schedule {
            times,
            first: 1_000_000,
            interval: 700,
        };
        let names = [1, 2, 16, 17, 1 << 60, 1 << 60 | 1];
        let jobs = names.iter().map(|&id| job(id, schedule)).collect();
        let mut play = Play::new(seed, jobs);
        for _ in 0..1200 {
            play.step();
        }
        assert!(play.brought > 50, "seed {seed}: {}", play.brought);
    }
}

/// A caller uses a name again with other steps and another text, while the first job runs or
/// after it has ended: it remains the first job, for the owner that knows it and for a later one
/// that reads its record.
#[test_case(false; "while it runs")]
#[test_case(true; "after its end")]
fn a_name_that_comes_again_is_the_first_job(ended: bool) {
    let first = job(1, Schedule::default());
    let mut play = Play::new(1, vec![first.clone()]);
    play.calm = true;
    let mut other = (*first.spec).clone();
    other.text = "another text".into();
    other.steps[0].count = 9;
    let other = Arc::new(Job {
        spec: Arc::new(other),
        ..first
    });
    for round in 0..60 {
        if round > 10 {
            play.tell(Event::Accepted(other.clone()));
        }
        if round == 30 {
            play.take_over();
        }
        for life in &mut play.lives {
            while ended && !life.runs.is_empty() {
                life.runs[0].saved = "saved".into();
                life.end(0, Ending::Done);
            }
        }
        play.step();
    }
    let tasks: Vec<(u32, u32, u32)> = play
        .starts
        .iter()
        .map(|s| (s.task.step, s.task.index, s.run))
        .collect();
    let mut expected = vec![(0, 0, 1), (0, 1, 1), (0, 2, 1)];
    if ended {
        expected.extend([(1, 0, 1), (1, 1, 1)]);
    }
    assert_eq!(tasks, expected);
    assert_eq!(play.brought, 0);
    let record = Record::decode(&play.records[&JobId(1)]).expect("own record");
    assert_eq!(record.outcome == Outcome::Complete, ended);
}

/// A gang goes on from one checkpoint: that of any member is good for it, and all members bring
/// the same. Each lists its own, as far as it had come when it was looked at; a member whose
/// worker crashed has listed an older one, or none.
#[test_case(&["a", "b", "c"]; "each another one")]
#[test_case(&["a", "", ""]; "one of them none")]
fn the_members_of_a_gang_bring_the_same(listed: &[&str]) {
    let mut gang = job(1, Schedule::default());
    let mut spec = (*gang.spec).clone();
    spec.steps.truncate(1);
    spec.steps[0].gang = true;
    gang.spec = Arc::new(spec);
    let mut play = Play::new(1, vec![gang]);
    play.calm = true;
    for _ in 0..20 {
        play.step();
    }
    assert_eq!(play.starts.len(), 3);
    for life in &mut play.lives {
        for at in (0..life.runs.len()).rev() {
            let run = &mut life.runs[at];
            run.saved = listed[run.task.index as usize].into();
            life.end(at, Ending::Stopped);
        }
    }
    for _ in 0..20 {
        play.step();
    }
    let saved: Vec<&str> = play.starts[3..].iter().map(|s| &*s.saved).collect();
    assert!(
        matches!(saved[..], [a, b, c] if !a.is_empty() && a == b && b == c),
        "{saved:?}"
    );
}
