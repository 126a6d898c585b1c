//! The membership list.

use std::time::Duration;

use gorsespur_runtime::cancel::CancelToken;
use gorsespur_services::Members;

use crate::AgentState;

/// Time between two reads.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Reads the list until `cancel`; while it can't be read the last one stays.
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
            Err(err) => log::debug!("members: {err}"),
        }
        if cancel.wait(POLL_INTERVAL) {
            return;
        }
    }
}
