//! Queued tasks, by priority and fair between teams.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::template::Priority;

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
pub struct Ready {
    /// The task.
    pub task: TaskRef,
    /// When it became ready.
    pub since: u64,
}

/// Tasks of one team and priority.
#[derive(Debug, Clone)]
struct Lane {
    priority: Priority,
    team: u16,
    tasks: VecDeque<Ready>,
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
        self.lane(priority, team).push_back(Ready { task, since });
    }

    /// Puts a task back at the front of its lane.
    pub fn push_front(&mut self, priority: Priority, team: u16, ready: Ready) {
        self.lane(priority, team).push_front(ready);
    }

    /// Adds a task that becomes ready at `until`.
    pub fn push_later(&mut self, until: u64, priority: Priority, team: u16, task: TaskRef) {
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
    pub fn wake(&mut self, now: u64) {
        while self.delayed.last().is_some_and(|d| d.until <= now) {
            let Some(d) = self.delayed.pop() else { return };
            self.push(d.priority, d.team, d.task, d.until);
        }
    }

    /// Returns the number of entries, stale ones included.
    pub fn len(&self) -> usize {
        let ready: usize = self.lanes.iter().map(|l| l.tasks.len()).sum();
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
            if lane.priority == priority && !lane.tasks.is_empty() {
                teams.push(lane.team);
            }
        }
        teams
    }

    /// Takes the first ready task of a lane.
    pub fn pop(&mut self, priority: Priority, team: u16) -> Option<Ready> {
        self.lane(priority, team).pop_front()
    }

    fn lane(&mut self, priority: Priority, team: u16) -> &mut VecDeque<Ready> {
        let found = self
            .lanes
            .binary_search_by_key(&(priority, team), |l| (l.priority, l.team));
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                let tasks = VecDeque::new();
                self.lanes.insert(
                    i,
                    Lane {
                        priority,
                        team,
                        tasks,
                    },
                );
                i
            }
        };
        &mut self.lanes[i].tasks
    }
}
