//! Mistakes that validation finds in the head and across sections and keys.

use fleet::{DeclarationMistake, HeadManifest, KeySet, KeyText, make_head, validate_set};
use proptest::prelude::*;
use yare::parameterized;

const FLEET: &str = "\
[domain patan]
[domain balaju]
[node n1]
domain = patan
peer_address = 192.0.2.1:8082
[node n2]
domain = balaju
peer_address = 192.0.2.2:8082
[model quill]
[service counter]
repeatable = GET
[target e1]
kind = engine
domain = patan
address = 192.0.2.10:8000
labels = pool=large
[target e2]
kind = engine
domain = balaju
address = 192.0.2.11:8000
labels = pool=small
[target c1]
kind = service
service = counter
domain = patan
address = 192.0.2.12:8000
[workspace atlas]
key_sha256 = 00000000000000000000000000000000000000000000000000000000000000aa
[workspace birch]
key_sha256 = 00000000000000000000000000000000000000000000000000000000000000bb
[route all]
targets = kind=engine
[rollout one]
model = quill
version = 1
targets = pool=large
[rollout two]
model = quill
version = 2
targets = pool=small
";

fn set_of(texts: &[(&str, &str)]) -> KeySet {
    let keys: Vec<_> = texts
        .iter()
        .map(|(name, text)| KeyText::new(name, *text))
        .collect();
    KeySet::new(make_head(1, &keys), keys)
}

fn mistakes_of(set: &KeySet) -> Vec<String> {
    let mistakes = validate_set(set).err().unwrap_or_default();
    mistakes.iter().map(ToString::to_string).collect()
}

/// Guards against references to names that do not exist, and sections that contradict each other.
#[parameterized(
    node_domain = { "domain = balaju\npeer", "domain = blaju\npeer", "f.ini:6: [node n2] domain: found `blaju`, allowed balaju, patan; did you mean balaju" },
    node_address = { "192.0.2.2:8082", "192.0.2.1:8082", "f.ini:6: [node n2] peer_address: found the address of [node n1], allowed an address of its own" },
    target_domain = { "domain = balaju\naddress", "domain = x\naddress", "f.ini:17: [target e2] domain: found `x`, allowed balaju, patan" },
    target_address = { "192.0.2.11", "192.0.2.10", "f.ini:17: [target e2] address: found the address of [target e1], allowed an address of its own" },
    no_service = { "service = counter\n", "", "f.ini:22: [target c1] service: found nothing, allowed the name of a [service NAME]" },
    other_service = { "service = counter\n", "service = conter\n", "f.ini:22: [target c1] service: found `conter`, allowed counter; did you mean counter" },
    engine_service = { "kind = engine\n", "kind = engine\nservice = counter\n", "f.ini:12: [target e1] service: found `counter`, allowed nothing for an engine" },
    service_role = { "service = counter\n", "service = counter\nrole = decode\n", "f.ini:22: [target c1] role: found a role, allowed nothing for a service" },
    own_label = { "pool=small", "domain=x", "f.ini:17: [target e2] labels: found `domain`, allowed labels other than domain, kind, service, target" },
    request_label = { "00aa", "00aa\nlabels = model=x", "f.ini:27: [workspace atlas] labels: found `model`, allowed labels other than adapter, model, service, version, workspace" },
    same_key = { "00bb", "00AA", "f.ini:29: [workspace birch] key_sha256: found the key of [workspace atlas], allowed a key of its own" },
    rollout_model = { "model = quill\nversion = 2", "model = quil\nversion = 2", "f.ini:37: [rollout two] model: found `quil`, allowed quill; did you mean quill" },
    two_versions = { "targets = pool=small", "targets = kind=engine", "f.ini:37: [rollout two] targets: found [target e1], for which [rollout one] wants version 1, allowed one version of a model on each engine" },
    adapters = { "version = 1", "version = 1\nadapters = a, b c", "f.ini:33: [rollout one] adapters: found `b c`, allowed letters, digits and -_.:" },
    methods = { "repeatable = GET", "repeatable = get", "f.ini:10: [service counter] repeatable: found `get`, allowed methods in capitals, separated by commas" },
)]
fn mistakes_across_sections_are_found(old: &str, new: &str, expected: &str) {
    assert_eq!(mistakes_of(&set_of(&[("f.ini", FLEET)])), [""; 0]);
    let text = FLEET.replacen(old, new, 1);
    let mistakes = mistakes_of(&set_of(&[("f.ini", &text)]));
    assert!(
        mistakes.iter().any(|found| found == expected),
        "{mistakes:#?}"
    );
}

/// Guards against a section in two keys, of which the order of the keys would choose one.
#[test]
fn a_section_is_allowed_in_one_key_only() {
    let mistakes = mistakes_of(&set_of(&[("a.ini", FLEET), ("b.ini", "[model quill]\n")]));
    let expected = "b.ini:1: [model quill]: found the section again, first in a.ini:9, allowed each section once";
    assert_eq!(mistakes, [expected]);
}

/// Guards against an empty declaration, which would remove every target.
#[test]
fn an_empty_declaration_is_rejected() {
    assert_eq!(mistakes_of(&set_of(&[])).len(), 2);
}

/// Guards against typing errors that leave a route or domain without effect and go unnoticed.
#[test]
fn unmatched_routes_and_domains_without_nodes_are_warnings() {
    let more = "[domain thapathali]\n[route none]\ntargets = pool=huge\n";
    let fleet = validate_set(&set_of(&[("a.ini", FLEET), ("b.ini", more)])).unwrap();
    let expected = [
        "[route none] matches no target",
        "[domain thapathali] has no node",
    ];
    assert_eq!(fleet.warnings, expected);
}

/// Guards against lenient parsing of the head, which could list different keys at different nodes.
#[parameterized(
    no_epoch = { "[keys]\n", "head:1: epoch: found nothing, allowed an integer of at least 0" },
    wrong_epoch = { "epoch = -1\n[keys]\n", "head:1: epoch: found -1, allowed an integer of at least 0" },
    two_epochs = { "epoch = 1\nepoch = 2\n", "head:2: epoch: found the key again, allowed each key once" },
    other_key = { "epoch = 1\nx = 2\n", "head:2: x: found an unknown key, allowed epoch" },
    other_section = { "epoch = 1\n[key]\n", "head:2: [key]: found an unknown section, allowed [keys]" },
    wrong_hash = { "epoch = 1\n[keys]\na = 12\n", "head:3: a: found 12, allowed 64 hexadecimal digits" },
    own_name = { "epoch = 1\n[keys]\nhead = 12\n", "head:3: head: found a key name, allowed 1 to 200 letters, digits and -_./, other than head" },
)]
fn head_mistakes_are_found(text: &str, expected: &str) {
    let mistakes = HeadManifest::parse(text).unwrap_err();
    assert_eq!(mistakes[0].to_string(), expected);
    assert!(!validate_set(&KeySet::new(text, Vec::new())).unwrap_err()[0].is_incomplete());
}

/// Guards against applying a text that was changed after the head was written.
#[test]
fn a_key_with_another_hash_makes_the_set_incomplete() {
    let set = set_of(&[("a.ini", FLEET)]);
    let other = KeySet::new(
        set.head().clone(),
        vec![KeyText::new("a.ini", "[domain x]\n")],
    );
    let mistakes = validate_set(&other).unwrap_err();
    let key = "a.ini".into();
    assert_eq!(mistakes, [DeclarationMistake::HashDiffers { key }]);
}

/// Returns the sections of `FLEET` as separate texts.
fn sections() -> Vec<String> {
    let mut sections: Vec<String> = Vec::new();
    for line in FLEET.lines() {
        if line.starts_with('[') {
            sections.push(String::new());
        }
        let section = sections.last_mut().unwrap();
        section.push_str(line);
        section.push('\n');
    }
    sections
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a result that depends on how sections are distributed over keys, on the order
    /// in which keys arrive, or on keys that the head does not list.
    #[test]
    fn the_result_depends_on_the_declared_sections_alone(
        places in prop::collection::vec(0_usize..4, 14),
        order in any::<prop::sample::Index>(),
        is_broken in any::<bool>(),
    ) {
        let mut texts = vec![String::new(); 4];
        for (section, place) in sections().iter().zip(&places) {
            let broken = section.replace("domain = balaju", "domain = nowhere");
            texts[*place].push_str(if is_broken { &broken } else { section });
        }
        let mut keys: Vec<_> = texts
            .iter()
            .enumerate()
            .map(|(at, text)| KeyText::new(format!("k{at}.ini"), text.as_str()))
            .collect();
        let head = make_head(1, &keys);
        let expected = validate_set(&KeySet::new(head.clone(), keys.clone()));
        let at = order.index(keys.len());
        keys.rotate_left(at);
        keys.push(KeyText::new("unlisted.ini", "[nonsense"));
        let shuffled = validate_set(&KeySet::new(head, keys));
        prop_assert_eq!(&shuffled, &expected);
        prop_assert_eq!(shuffled.is_err(), is_broken);
        if let Ok(fleet) = shuffled {
            prop_assert_eq!(fleet, validate_set(&set_of(&[("f.ini", FLEET)])).unwrap());
        }
    }

    /// Guards against texts that make a node panic instead of being rejected.
    #[test]
    fn no_text_causes_a_panic(head in "\\PC{0,60}", text in "(\\[|\\]|=|\n|;|[a-z ]|\\PC){0,80}") {
        let keys = vec![KeyText::new("a.ini", text.as_str())];
        let _ = validate_set(&KeySet::new(head, keys.clone()));
        let _ = validate_set(&KeySet::new(make_head(1, &keys), keys));
    }
}
