//! Queue of tasks by priority and team.
//!
//! Thousands of tasks that fit on no worker must not delay the tasks queued behind them. Tasks of
//! one shape fit on the same workers, so blocked tasks are grouped by shape, and placement tries
//! only the first task of each group.
//!
//! Limits: there is a group for each blocked shape, and each group is tried in each pass.

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

/// A queued task that is ready to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyTask {
    /// The task.
    pub task: TaskRef,
    /// When the task became ready, in milliseconds by the owner's clock.
    pub since: u64,
}

impl ReadyTask {
    /// Returns the sort key of ready tasks; the oldest task comes first.
    fn age(&self) -> (u64, TaskRef) {
        (self.since, self.task)
    }
}

/// Properties that decide on which workers a task fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskShape {
    /// Index of the class.
    pub class: u16,
    /// Size of each task.
    pub size: Size,
}

/// Tasks of one shape that fitted on no worker when they were last tried, the oldest first.
#[derive(Debug, Clone)]
struct BlockedGroup {
    shape: TaskShape,
    tasks: VecDeque<ReadyTask>,
}

/// Ready tasks of one team and priority.
#[derive(Debug, Clone)]
struct TeamQueue {
    priority: Priority,
    team: u16,
    /// Tasks that are not blocked.
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

    /// Returns the index and first task of the group whose first task is the oldest, without
    /// skipped shapes.
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

    /// Takes the first task of a group.
    fn pop_blocked(&mut self, index: usize) -> Option<ReadyTask> {
        let first = self.blocked[index].tasks.pop_front();
        if self.blocked[index].tasks.is_empty() {
            self.blocked.swap_remove(index);
        }
        first
    }
}

/// A task that becomes ready at a later time.
#[derive(Debug, Clone)]
struct DelayedTask {
    until: u64,
    priority: Priority,
    team: u16,
    task: TaskRef,
}

/// Queue of tasks with a separate queue for each priority and team, so that a burst from one team
/// does not delay the others.
///
/// Entries whose task is no longer queued stay until they are taken; the caller skips them.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    /// Queues of all teams, sorted by priority and team.
    team_queues: Vec<TeamQueue>,
    delayed: Vec<DelayedTask>,
}

impl Queue {
    /// Adds a task at the end of the queue of its team.
    pub fn push(&mut self, priority: Priority, team: u16, task: TaskRef, since: u64) {
        self.queue_mut(priority, team)
            .tasks
            .push_back(ReadyTask { task, since });
    }

    /// Puts a task back at the front of the queue of its team.
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

    /// Moves the tasks whose delay is over into the queues of their teams.
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

    /// Returns whether there is no entry.
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

    /// Takes the first ready task of a team that is not blocked.
    pub fn pop(&mut self, priority: Priority, team: u16) -> Option<ReadyTask> {
        self.queue_mut(priority, team).tasks.pop_front()
    }

    /// Takes the oldest ready task of a team, without blocked tasks whose shape is skipped.
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

    /// Adds a task that fitted on no worker to the blocked tasks of its shape.
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

    /// Returns up to `limit` blocked tasks of a shape, the oldest first.
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
