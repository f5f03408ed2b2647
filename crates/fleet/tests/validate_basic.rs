//! Validation of small key sets.

use fleet::{DeclarationMistake, KeySet, KeyText, make_head, validate_set};

const FLEET: &str = "\
[domain patan]
[node n1]
domain = patan
peer_address = 192.0.2.1:8082
[model quill]
[service counter]
repeatable = GET, PUT
[target e1]
kind = engine
domain = patan
address = 192.0.2.10:8000
labels = pool=large
[target c1]
kind = service
service = counter
domain = patan
address = 192.0.2.11:8000
[workspace atlas]
key_sha256 = 00000000000000000000000000000000000000000000000000000000000000ff
labels = tier=gold
[route models]
requests = model
targets = kind=engine,version in (1,2)
[route counters]
requests = service=counter
targets = service=counter
[rollout quill]
model = quill
version = 2
targets = pool=large
";

fn set_of(texts: &[(&str, &str)]) -> KeySet {
    let keys: Vec<_> = texts
        .iter()
        .map(|(name, text)| KeyText::new(name, *text))
        .collect();
    KeySet::new(make_head(1, &keys), keys)
}

/// Guards against routes that ignore labels of the request or state labels of a target.
#[test]
fn routes_select_by_declared_and_actual_labels() {
    let fleet = validate_set(&set_of(&[("fleet.ini", FLEET)])).unwrap();
    let mut hash = [0; 32];
    hash[31] = 0xff;
    let workspace = fleet.workspace_by_key_hash(&hash).unwrap();
    let model = "quill".parse().unwrap();
    let request = fleet.request_labels(workspace, Some(&model), None, None, None);
    assert_eq!(request.to_string(), "model=quill,tier=gold,workspace=atlas");
    assert!(fleet.candidates(&request).is_empty());
    let state_labels = |_: &_| "version=2".parse().unwrap();
    let names = fleet.candidates_with(&request, state_labels);
    assert_eq!(names, ["e1".parse().unwrap()]);
    let service = "counter".parse().unwrap();
    let request = fleet.request_labels(workspace, None, None, None, Some(&service));
    assert_eq!(fleet.candidates(&request), ["c1".parse().unwrap()]);
    assert!(fleet.warnings.is_empty());
}

/// Guards against an incomplete set that is applied, or rejected as if it were invalid.
#[test]
fn incomplete_sets_are_distinguished_from_invalid_ones() {
    let complete = set_of(&[("a.ini", FLEET), ("b.ini", "[domain balaju]\n")]);
    let incomplete = KeySet::new(complete.head().clone(), complete.keys()[..1].to_vec());
    let mistakes = validate_set(&incomplete).unwrap_err();
    assert!(mistakes.iter().all(DeclarationMistake::is_incomplete));
    let broken = validate_set(&set_of(&[("a.ini", "[domian patan]\n")])).unwrap_err();
    assert!(!broken[0].is_incomplete());
    let text = broken[0].to_string();
    assert!(text.starts_with("a.ini:1: [domian patan]: found an unknown section"));
    assert!(text.ends_with("did you mean [domain NAME]"));
}
