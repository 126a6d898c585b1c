//! What is said of a write that failed: refused only if it certainly had no effect.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use gorsespur_http::{Method, Request, Traffic};
use test_case::test_case;

use crate::{
    fakes_tests::shared,
    front::{Front, WriteResult},
    store::{Changes, Commit, Page, Range, Store, StoreError, Tx},
};

/// Result of one write.
#[derive(Debug, Clone, Copy)]
enum Outcome {
    NotSent,
    NoAnswer,
    Written,
}

/// A store whose writes end as told, in this order; the last outcome holds for all later ones.
struct ScriptedStore {
    outcomes: Mutex<Vec<Outcome>>,
}

fn unavailable() -> StoreError {
    StoreError::Unavailable {
        reason: "not sent".into(),
    }
}

impl Store for ScriptedStore {
    fn read(&self, _: Range<'_>, _: &Traffic) -> Result<Page, StoreError> {
        Err(unavailable())
    }

    fn read_within(&self, _: Range<'_>, _: Duration, _: &Traffic) -> Result<Page, StoreError> {
        Err(unavailable())
    }

    fn changes(&self, _: &str, _: u64, _: Duration, _: &Traffic) -> Result<Changes, StoreError> {
        Err(unavailable())
    }

    fn commit(&self, _: &Tx, _: Duration, _: &Traffic) -> Result<Commit, StoreError> {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        let outcome = match outcomes.len() {
            1 => outcomes[0],
            _ => outcomes.remove(0),
        };
        match outcome {
            Outcome::NotSent => Err(unavailable()),
            Outcome::NoAnswer => Err(StoreError::Unknown {
                reason: "no answer".into(),
            }),
            Outcome::Written => Ok(Commit::Done(1)),
        }
    }
}

#[test_case(&[Outcome::NotSent], WriteResult::Refused(unavailable()); "never sent")]
#[test_case(&[Outcome::NoAnswer], WriteResult::Unclear; "never answered")]
#[test_case(&[Outcome::NoAnswer, Outcome::NotSent], WriteResult::Unclear; "sent once")]
#[test_case(&[Outcome::NotSent, Outcome::NoAnswer], WriteResult::Unclear; "sent at last")]
#[test_case(&[Outcome::NoAnswer, Outcome::Written], WriteResult::Done; "answered when repeated")]
fn a_write_is_refused_only_if_it_was_never_sent(outcomes: &[Outcome], expected: WriteResult) {
    let front = Front {
        shared: shared(ScriptedStore {
            outcomes: Mutex::new(outcomes.to_vec()),
        }),
    };
    let request = Request::new(Method::Post, "/", Vec::new());
    let start = front.shared.clock.now();
    assert_eq!(front.write(&Tx::default(), &request, start), expected);
}
