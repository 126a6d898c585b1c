//! Validation of templates: every problem is reported with its path.

use gorsespur_core::template::{Organisation, RawTemplate, check};
use gorsespur_runtime::settings::parse_yaml;
use test_case::test_case;

const GOOD: &str = "
organisation: weld
teams: [{name: t, quota: {cores: 10, memory_mib: 1000}}]
services: [{name: s, replicas: 2, size: {cores: 1, memory_mib: 10}}]
jobs: [{name: j, team: t, run_ms: 10, size: {cores: 0.5, memory_mib: 10}}]
";

fn checked(text: &str) -> Result<Organisation, Vec<String>> {
    let raw: RawTemplate = parse_yaml(text).map_err(|e| vec![e.to_string()])?;
    check(&raw).map_err(|p| p.items.into_iter().map(|i| i.path).collect())
}

#[test]
fn a_good_template_passes() {
    let org = checked(GOOD).expect("no problem");
    assert_eq!(org.job("j").expect("there").size.cpu, 500);
    assert!((org.weights.tail_latency - 1.0 / 3.0).abs() < 1e-9);
}

#[test_case("organisation: weld", "organisation: 'we ld'", "organisation"; "space in a name")]
#[test_case("organisation: weld", "organisation: \"we\\u0007ld\"", "organisation"; "control character in a name")]
#[test_case("organisation: weld", "organisation: ''", "organisation"; "empty name")]
#[test_case("replicas: 2", "replicas: -1", "services[0].replicas"; "negative replicas")]
#[test_case("replicas: 2", "replicas: 99999999", "services[0].replicas"; "absurd replicas")]
#[test_case("cores: 0.5", "cores: -1", "jobs[0].size.cores"; "negative cores")]
#[test_case("cores: 0.5", "cores: .nan", "jobs[0].size.cores"; "cores that are no number")]
#[test_case("cores: 0.5", "cores: 0", "jobs[0].size.cores"; "no cores")]
#[test_case("cores: 0.5, memory_mib: 10", "cores: 1, memory_mib: 0", "jobs[0].size.memory_mib"; "no memory")]
#[test_case("memory_mib: 1000", "memory_mib: -5", "teams[0].quota.memory_mib"; "negative quota")]
#[test_case("team: t", "team: u", "jobs[0].team"; "unknown team")]
#[test_case("name: j", "name: s", "services and jobs"; "a name twice")]
#[test_case("run_ms: 10", "run_ms: -1", "jobs[0].run_ms"; "negative run time")]
#[test_case("organisation: weld", "organisation: weld\nweights: {tail_latency: 0, throughput: 0, evictions: 0}", "weights"; "no weight")]
#[test_case("organisation: weld", "organisation: weld\nweights: {tail_latency: -1}", "weights.tail_latency"; "negative weight")]
#[test_case("organisation: weld", "organisation: weld\nlimits: {hold_seconds: 0}", "limits.hold_seconds"; "no hold")]
fn a_bad_field_is_named(good: &str, bad: &str, path: &str) {
    let text = GOOD.replacen(good, bad, 1);
    assert_ne!(text, GOOD);
    let problems = checked(&text).expect_err("a problem");
    assert!(problems.iter().any(|p| p == path), "{problems:?}");
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = GOOD
        .replace("replicas: 2", "replicas: -1")
        .replace("run_ms: 10", "run_ms: -1");
    assert_eq!(checked(&text).expect_err("problems").len(), 2);
}

#[test_case("organisation: [weld"; "not closed")]
#[test_case("organisation: weld\nsurprise: 1"; "unknown key")]
#[test_case("organisation: {a: b}"; "wrong type")]
#[test_case("- 1"; "a list")]
#[test_case(""; "empty")]
#[test_case("organisation: weld\norganisation: weld"; "a key twice")]
#[test_case("a: &a [x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b]\nd: &d [*c,*c,*c,*c,*c,*c,*c,*c,*c]\ne: &e [*d,*d,*d,*d,*d,*d,*d,*d,*d]\nf: &f [*e,*e,*e,*e,*e,*e,*e,*e,*e]\ng: &g [*f,*f,*f,*f,*f,*f,*f,*f,*f]\norganisation: *g"; "alias bomb")]
fn a_malformed_document_is_refused(text: &str) {
    assert!(checked(text).is_err());
}

#[test]
fn a_document_over_the_limit_is_refused() {
    let text = format!("organisation: weld\n#{}", "x".repeat(2 << 20));
    assert!(checked(&text).is_err());
}

#[test_case(include_str!("../../../templates/weld.yaml"), "weld")]
#[test_case(include_str!("../../../templates/taipei.yaml"), "taipei")]
fn the_templates_of_both_users_pass(text: &str, name: &str) {
    let org = checked(text).expect("no problem");
    assert_eq!(&*org.name, name);
    assert_eq!(org.services[0].replicas, 50);
    assert_eq!(
        (org.services[0].slots, org.services[0].connections),
        (8, 60)
    );
}
