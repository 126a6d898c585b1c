//! What tasks on one worker do to each other, and the paces that follow.
//!
//! The load pattern that this answers: serving tasks whose load swings by a factor of
//! three within seconds, beside filling tasks of which one pair of four disturbs. What
//! each pair does is fitted to the workers' figures; room for what fills follows the
//! load that is foreseen, where loads swing in a period, and the present one else; tails close to their target slow what disturbs them and, when that does
//! not help in time, stop it.
//!
//! Limits: figures come once a second and are off by a tenth; the users count four seconds
//! over a target as harm, so that all is stopped before half of that.

pub(crate) mod fit;
pub(crate) mod forecast;
pub(crate) mod headroom;
pub(crate) mod headroom_forecasts;
pub(crate) mod interference;
pub(crate) mod learned;
pub(crate) mod metrics;
pub(crate) mod own_load;
pub(crate) mod pace;
pub(crate) mod sample;
pub(crate) mod seasonality;
#[cfg(test)]
mod seasonality_tests;
pub(crate) mod slack;
pub(crate) mod spare_cpu;
