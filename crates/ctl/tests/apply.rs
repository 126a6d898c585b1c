//! Templates are applied conditionally, with an audit entry, and at most once.

use std::path::PathBuf;

use gorsespur_ctl::{
    apply::{Change, apply},
    diff::diff,
    document::{Document, to_text},
    error::CtlError,
    store,
};
use gorsespur_services::fake::{FakePlatform, Fault};
use test_case::test_case;

fn document() -> Document {
    let path = PathBuf::from(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../templates/weld.yaml"
    ));
    Document::read(&path).expect("valid template")
}

fn change(base_version: u64, replicas: i64) -> Change {
    let mut document = document();
    document.raw.services[0].replicas = replicas;
    Change {
        document,
        base_version,
        author: "ada".to_owned(),
        reason: "load".to_owned(),
    }
}

#[test]
fn a_change_and_its_audit_entry_are_one_transaction() {
    let platform = FakePlatform::new();
    let accepted = apply(&platform, &change(0, 50)).expect("accepted");
    assert_eq!(accepted.version, 1);
    assert_eq!(platform.writes(), 1);
    let accepted = apply(&platform, &change(1, 60)).expect("accepted");
    assert_eq!(
        accepted.diff,
        ["services[qualification].replicas: 50 -> 60"]
    );
    let trail = store::audit_trail(&platform, "weld").expect("read");
    assert_eq!(trail.len(), 2);
    assert_eq!(
        (&*trail[1].who, &*trail[1].why, trail[1].version),
        ("ada", "load", 2)
    );
    assert_eq!(
        store::config_head(&platform)
            .expect("read")
            .expect("there")
            .value
            .change,
        2
    );
}

#[test]
fn a_version_conflict_lists_the_changes_since() {
    let platform = FakePlatform::new();
    apply(&platform, &change(0, 50)).expect("accepted");
    apply(&platform, &change(1, 60)).expect("accepted");
    let err = apply(&platform, &change(1, 70)).expect_err("version conflict");
    let CtlError::VersionConflict {
        base_version,
        current_version,
        changes,
        ..
    } = err
    else {
        panic!("{err:?}");
    };
    assert_eq!((base_version, current_version), (1, 2));
    assert!(
        changes.contains("50 -> 60") && changes.contains("ada"),
        "{changes}"
    );
    let stored = store::template(&platform, "weld")
        .expect("read")
        .expect("there");
    assert_eq!(stored.value.raw.services[0].replicas, 60);
}

#[test]
fn an_unchanged_template_creates_no_version() {
    let platform = FakePlatform::new();
    apply(&platform, &change(0, 50)).expect("accepted");
    let again = apply(&platform, &change(1, 50)).expect("nothing to do");
    assert_eq!((again.version, again.diff.len()), (1, 0));
    assert_eq!(platform.writes(), 1);
}

// `apply` reads the template and the configuration head, then writes, so that the third call is
// the write.
#[test_case(&[Fault::None, Fault::None, Fault::LostAnswer]; "answer lost")]
#[test_case(&[Fault::None, Fault::None, Fault::LostAnswer, Fault::Down, Fault::Down]; "answer lost and reads fail")]
#[test_case(&[Fault::None, Fault::None, Fault::Delayed]; "write delayed until the repeat")]
fn a_change_with_a_lost_answer_is_applied_once(faults: &[Fault]) {
    let platform = FakePlatform::new();
    platform.fail_next(faults);
    let accepted = apply(&platform, &change(0, 50)).expect("accepted");
    assert_eq!(accepted.version, 1);
    assert_eq!(
        store::audit_trail(&platform, "weld").expect("read").len(),
        1
    );
}

#[test]
fn apply_writes_nothing_if_the_table_is_down() {
    let platform = FakePlatform::new();
    platform.fail_next(&[Fault::Down]);
    assert!(matches!(
        apply(&platform, &change(0, 50)),
        Err(CtlError::Table { .. })
    ));
    assert_eq!(platform.writes(), 0);
}

#[test]
fn a_shown_template_can_be_applied_again() {
    let text = to_text(&document().raw, 7);
    let dir = std::env::temp_dir().join(format!("gorsespur-ctl-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let path = dir.join("shown.yaml");
    std::fs::write(&path, text).expect("written");
    let again = Document::read(&path).expect("passes");
    assert_eq!(again.version, Some(7));
    assert!(diff(Some(&document().raw), &again.raw).is_empty());
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn an_invalid_author_is_rejected() {
    let platform = FakePlatform::new();
    let mut invalid = change(0, 50);
    invalid.author = "a b\n".to_owned();
    assert!(matches!(
        apply(&platform, &invalid),
        Err(CtlError::InvalidAuthor { .. })
    ));
}
