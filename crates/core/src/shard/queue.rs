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
struct BlockedGroup {
    shape: TaskShape,
    tasks: VecDeque<ReadyTask>,
}

/// Tasks of one team and priority.
#[derive(Debug, Clone)]
struct TeamQueue {
    priority: Priority,
    team: u16,
    /// Those that were not held up.
    tasks: VecDeque<ReadyTask>,
    blocked: Vec<BlockedGroup>,
}

impl TeamQueue {
    fn new(priority: Priority, team: u16) -> TeamQueue {
        TeamQueue {
            priority,
            team,
            tasks: VecDeque::new(),
            blocked: Vec::new(),
        }
    }

    fn len(&self) -> usize {
        let blocked: usize = self.blocked.iter().map(|l| l.tasks.len()).sum();
        self.tasks.len() + blocked
    }

    fn group_index(&self, shape: &TaskShape) -> Option<usize> {
        self.blocked.iter().position(|l| l.shape == *shape)
    }

    /// Returns the line with the oldest first task, of those that are not passed over.
    fn oldest_blocked(
        &self,
        is_skipped: impl Fn(&TaskShape) -> bool,
    ) -> Option<(usize, ReadyTask)> {
        let groups = self.blocked.iter().enumerate();
        let firsts = groups
            .filter(|(_, l)| !is_skipped(&l.shape))
            .filter_map(|(index, l)| l.tasks.front().map(|f| (index, *f)));
        firsts.min_by_key(|(_, first)| first.age())
    }

    /// Takes the first task of a line.
    fn pop_blocked(&mut self, index: usize) -> Option<ReadyTask> {
        let first = self.blocked[index].tasks.pop_front();
        if self.blocked[index].tasks.is_empty() {
            self.blocked.swap_remove(index);
        }
        first
    }
}

/// Tasks that wait until a time.
#[derive(Debug, Clone)]
struct DelayedTask {
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
    team_queues: Vec<TeamQueue>,
    delayed: Vec<DelayedTask>,
}

impl Queue {
    /// Adds a task at the end of its lane.
    pub fn push(&mut self, priority: Priority, team: u16, task: TaskRef, since: u64) {
        self.queue_mut(priority, team)
            .tasks
            .push_back(ReadyTask { task, since });
    }

    /// Puts a task back at the front of its lane.
    pub fn push_front(&mut self, priority: Priority, team: u16, ready: ReadyTask) {
        self.queue_mut(priority, team).tasks.push_front(ready);
    }

    /// Adds a task that becomes ready at `until`.
    pub fn push_delayed(&mut self, until: u64, priority: Priority, team: u16, task: TaskRef) {
        let i = self.delayed.partition_point(|d| d.until >= until);
        self.delayed.insert(
            i,
            DelayedTask {
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
        let ready: usize = self.team_queues.iter().map(TeamQueue::len).sum();
        ready + self.delayed.len()
    }

    /// Tells whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the teams that have ready tasks of a priority.
    pub fn teams(&self, priority: Priority) -> Vec<u16> {
        let mut teams = Vec::new();
        for queue in &self.team_queues {
            if queue.priority == priority && queue.len() > 0 {
                teams.push(queue.team);
            }
        }
        teams
    }

    /// Takes the first ready task of a lane, of those that are not held up.
    pub fn pop(&mut self, priority: Priority, team: u16) -> Option<ReadyTask> {
        self.queue_mut(priority, team).tasks.pop_front()
    }

    /// Takes the oldest ready task of a lane, held up or not, but for those that are held up and
    /// whose shape is passed over.
    pub fn pop_oldest(
        &mut self,
        priority: Priority,
        team: u16,
        is_skipped: impl Fn(&TaskShape) -> bool,
    ) -> Option<ReadyTask> {
        let queue = self.queue_mut(priority, team);
        let oldest_blocked = queue.oldest_blocked(is_skipped);
        match (queue.tasks.front(), oldest_blocked) {
            (Some(first), Some((index, blocked))) if blocked.age() < first.age() => {
                queue.pop_blocked(index)
            }
            (None, Some((index, _))) => queue.pop_blocked(index),
            _ => queue.tasks.pop_front(),
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
        let queue = self.queue_mut(priority, team);
        let Some(index) = queue.group_index(&shape) else {
            let tasks = VecDeque::from([ready]);
            queue.blocked.push(BlockedGroup { shape, tasks });
            return;
        };
        let tasks = &mut queue.blocked[index].tasks;
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
        limit: usize,
    ) -> Vec<ReadyTask> {
        let queue = self.queue_mut(priority, team);
        let tasks = queue
            .group_index(shape)
            .map(|index| &queue.blocked[index].tasks);
        tasks.map_or(Vec::new(), |t| t.iter().take(limit).copied().collect())
    }

    fn queue_mut(&mut self, priority: Priority, team: u16) -> &mut TeamQueue {
        let found = self
            .team_queues
            .binary_search_by_key(&(priority, team), |l| (l.priority, l.team));
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                self.team_queues.insert(i, TeamQueue::new(priority, team));
                i
            }
        };
        &mut self.team_queues[i]
    }
}
