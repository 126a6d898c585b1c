//! Queued tasks, by priority and fair between teams.
//!
//! The load pattern that this answers: thousands of tasks that fit nowhere, before others that
//! do. Tasks of one shape find room alike, so that those that were held up stand in a line for
//! each shape, and the first of a line speaks for all of it.
//!
//! Limits: there is a line for each shape that waits, and each is tried in each round.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{size::Size, template::Priority};

/// A task of a job in a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRef {
    /// Number of the job.
    pub job: u32,
    /// Index of the task.
    pub task: u32,
}

/// A queued task and since when it is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyTask {
    /// The task.
    pub task: TaskRef,
    /// When it became ready.
    pub since: u64,
}

impl ReadyTask {
    /// Returns what ready tasks are ordered by: the oldest comes first.
    fn age(&self) -> (u64, TaskRef) {
        (self.since, self.task)
    }
}

/// What tasks have in common that find room alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskShape {
    /// Number of their class.
    pub class: u16,
    /// What each of them asks for.
    pub size: Size,
}

/// Tasks of one shape that found no room when they were last tried, the oldest first.
#[derive(Debug, Clone)]
struct Line {
    shape: TaskShape,
    tasks: VecDeque<ReadyTask>,
}

/// Tasks of one team and priority.
#[derive(Debug, Clone)]
struct Lane {
    priority: Priority,
    team: u16,
    /// Those that were not held up.
    tasks: VecDeque<ReadyTask>,
    held: Vec<Line>,
}

impl Lane {
    fn new(priority: Priority, team: u16) -> Lane {
        Lane {
            priority,
            team,
            tasks: VecDeque::new(),
            held: Vec::new(),
        }
    }

    fn len(&self) -> usize {
        let held: usize = self.held.iter().map(|l| l.tasks.len()).sum();
        self.tasks.len() + held
    }

    fn line(&self, shape: &TaskShape) -> Option<usize> {
        self.held.iter().position(|l| l.shape == *shape)
    }

    /// Returns the line with the oldest first task, of those that are not passed over.
    fn oldest_line(&self, is_passed: impl Fn(&TaskShape) -> bool) -> Option<(usize, ReadyTask)> {
        let lines = self.held.iter().enumerate();
        let firsts = lines
            .filter(|(_, l)| !is_passed(&l.shape))
            .filter_map(|(at, l)| l.tasks.front().map(|f| (at, *f)));
        firsts.min_by_key(|(_, first)| first.age())
    }

    /// Takes the first task of a line.
    fn pop_line(&mut self, at: usize) -> Option<ReadyTask> {
        let first = self.held[at].tasks.pop_front();
        if self.held[at].tasks.is_empty() {
            self.held.swap_remove(at);
        }
        first
    }
}

/// Tasks that wait until a time.
#[derive(Debug, Clone)]
struct Delayed {
    until: u64,
    priority: Priority,
    team: u16,
    task: TaskRef,
}

/// Queued tasks; an entry whose task is no longer queued is skipped when met.
///
/// Lanes are sorted by priority and team. Within a priority the lanes take
/// turns, so that a wave from one team does not hold up the others.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    lanes: Vec<Lane>,
    delayed: Vec<Delayed>,
}

impl Queue {
    /// Adds a task at the end of its lane.
    pub fn push(&mut self, priority: Priority, team: u16, task: TaskRef, since: u64) {
        self.lane(priority, team)
            .tasks
            .push_back(ReadyTask { task, since });
    }

    /// Puts a task back at the front of its lane.
    pub fn push_front(&mut self, priority: Priority, team: u16, ready: ReadyTask) {
        self.lane(priority, team).tasks.push_front(ready);
    }

    /// Adds a task that becomes ready at `until`.
    pub fn push_delayed(&mut self, until: u64, priority: Priority, team: u16, task: TaskRef) {
        let i = self.delayed.partition_point(|d| d.until >= until);
        self.delayed.insert(
            i,
            Delayed {
                until,
                priority,
                team,
                task,
            },
        );
    }

    /// Moves the tasks whose delay is over into their lanes.
    pub fn promote_delayed(&mut self, now: u64) {
        while self.delayed.last().is_some_and(|d| d.until <= now) {
            let Some(d) = self.delayed.pop() else { return };
            self.push(d.priority, d.team, d.task, d.until);
        }
    }

    /// Returns the number of entries, stale ones included.
    pub fn len(&self) -> usize {
        let ready: usize = self.lanes.iter().map(Lane::len).sum();
        ready + self.delayed.len()
    }

    /// Tells whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the teams that have ready tasks of a priority.
    pub fn teams(&self, priority: Priority) -> Vec<u16> {
        let mut teams = Vec::new();
        for lane in &self.lanes {
            if lane.priority == priority && lane.len() > 0 {
                teams.push(lane.team);
            }
        }
        teams
    }

    /// Takes the first ready task of a lane, of those that are not held up.
    pub fn pop(&mut self, priority: Priority, team: u16) -> Option<ReadyTask> {
        self.lane(priority, team).tasks.pop_front()
    }

    /// Takes the oldest ready task of a lane, held up or not, but for those that are held up and
    /// whose shape is passed over.
    pub fn pop_oldest(
        &mut self,
        priority: Priority,
        team: u16,
        is_passed: impl Fn(&TaskShape) -> bool,
    ) -> Option<ReadyTask> {
        let lane = self.lane(priority, team);
        let line = lane.oldest_line(is_passed);
        match (lane.tasks.front(), line) {
            (Some(first), Some((at, held))) if held.age() < first.age() => lane.pop_line(at),
            (None, Some((at, _))) => lane.pop_line(at),
            _ => lane.tasks.pop_front(),
        }
    }

    /// Has a task that found no room wait behind older ones of its shape.
    pub fn push_blocked(
        &mut self,
        priority: Priority,
        team: u16,
        ready: ReadyTask,
        shape: TaskShape,
    ) {
        let lane = self.lane(priority, team);
        let Some(at) = lane.line(&shape) else {
            let tasks = VecDeque::from([ready]);
            lane.held.push(Line { shape, tasks });
            return;
        };
        let tasks = &mut lane.held[at].tasks;
        match tasks.front().is_some_and(|f| ready.age() < f.age()) {
            true => tasks.push_front(ready),
            false => tasks.push_back(ready),
        }
    }

    /// Returns the first tasks of a shape that are held up, `most` at most.
    pub fn first_blocked(
        &mut self,
        priority: Priority,
        team: u16,
        shape: &TaskShape,
        most: usize,
    ) -> Vec<ReadyTask> {
        let lane = self.lane(priority, team);
        let tasks = lane.line(shape).map(|at| &lane.held[at].tasks);
        tasks.map_or(Vec::new(), |t| t.iter().take(most).copied().collect())
    }

    fn lane(&mut self, priority: Priority, team: u16) -> &mut Lane {
        let found = self
            .lanes
            .binary_search_by_key(&(priority, team), |l| (l.priority, l.team));
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                self.lanes.insert(i, Lane::new(priority, team));
                i
            }
        };
        &mut self.lanes[i]
    }
}
