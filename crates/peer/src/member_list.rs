//! Polling of the membership list.

use std::time::Duration;

use gorsespur_runtime::cancel::CancelToken;
use gorsespur_services::Members;

use crate::AgentState;

/// Interval between two reads.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Reads the list until `cancel` is cancelled; keeps the last list while reads fail.
pub(crate) fn follow(state: &AgentState, members: &dyn Members, cancel: &CancelToken) {
    loop {
        match members.list() {
            Ok(list) => {
                let mut known = state.member_list();
                if *known != list {
                    *known = list;
                    drop(known);
                    state.list_changed();
                }
            }
            Err(err) => log::debug!("members: can't read the list: {err}"),
        }
        if cancel.wait(POLL_INTERVAL) {
            return;
        }
    }
}
