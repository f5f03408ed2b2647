//! Error messages for every kind of error in settings and declarations.

use schema::{read_declaration, read_settings};
use yare::parameterized;

const SETTINGS: &str = "\
[node]
name = n1
domain = patan
[callers]
listen = 127.0.0.1:8080
[operators]
listen = 127.0.0.1:8081
[peers]
listen = 127.0.0.1:8082
key = a-secret-of-some-length
[platform]
address = 127.0.0.1:8500
";

const DECLARATION: &str = "\
[domain patan]
[target e1]
kind = engine
domain = patan
address = 192.0.2.1:8000
labels = pool=large
[workspace atlas]
key_sha256 = 00000000000000000000000000000000000000000000000000000000000000ff
weight = 2
[route all]
targets = kind=engine
";

fn error_messages<T: std::fmt::Debug>(result: Result<T, Vec<schema::SettingError>>) -> Vec<String> {
    let errors = result.unwrap_err();
    errors.iter().map(ToString::to_string).collect()
}

/// Guards against errors that are not reported, and against messages without the line, the key, the
/// value or what is allowed.
#[parameterized(
    unknown_section = { "[node]", "[nodes]", "x.ini:1: [nodes]: found an unknown section, allowed [callers], [node], [operators], [peers], [platform]; did you mean [node]" },
    missing_section = { "[platform]\naddress = 127.0.0.1:8500\n", "", "x.ini:1: [platform]: found nothing, allowed the section, which is required" },
    repeated_section = { "[operators]\nlisten", "[callers]\nlisten", "x.ini:6: [callers]: found the section again, first in line 4, allowed each section once" },
    named_section = { "[operators]", "[operators x]", "x.ini:6: [operators x]: found a name, allowed [operators]" },
    broken_header = { "[operators]", "[operators", "x.ini:6: [operators: found a broken header, allowed [SECTION]" },
    no_section = { "[node]\n", "", "x.ini:1: name: found no section, allowed [SECTION] above it" },
    unknown_key = { "domain = ", "domian = ", "x.ini:3: domian: found an unknown key in [node], allowed domain, events, name; did you mean domain" },
    missing_key = { "domain = patan\n", "", "x.ini:1: domain: found nothing, allowed a value, since [node] needs it" },
    repeated_key = { "domain = patan", "domain = patan\ndomain = balaju", "x.ini:4: domain: found the key again, first in line 3, allowed each key once" },
    no_value = { "domain = patan", "domain", "x.ini:3: domain: found no `=`, allowed KEY = VALUE" },
    bad_name = { "domain = patan", "domain = two words", "x.ini:3: domain: found `two words`, allowed a domain name: letters, digits and -_.:" },
    host_name = { "127.0.0.1:8080", "localhost:8080", "x.ini:5: listen: found `localhost:8080`, allowed an IP address with a port, such as 192.0.2.1:8080" },
    no_port = { "127.0.0.1:8080", "127.0.0.1", "x.ini:5: listen: found `127.0.0.1`, allowed an IP address with a port, such as 192.0.2.1:8080" },
    wrong_type = { "domain = patan", "domain = patan\nevents = many", "x.ini:4: events: found `many`, allowed an integer from 16 to 1000000" },
    below_minimum = { "domain = patan", "domain = patan\nevents = 15", "x.ini:4: events: found `15`, allowed an integer from 16 to 1000000" },
    above_maximum = { "domain = patan", "domain = patan\nevents = 1000001", "x.ini:4: events: found `1000001`, allowed an integer from 16 to 1000000" },
    huge_number = { "domain = patan", "domain = patan\nevents = 99999999999999999999", "x.ini:4: events: found `99999999999999999999`, allowed an integer from 16 to 1000000" },
    short_secret = { "a-secret-of-some-length", "short", "x.ini:10: key: found 5 characters, allowed at least 16 characters" },
)]
fn settings_errors_name_line_value_and_allowed(old: &str, new: &str, expected: &str) {
    assert!(read_settings("x.ini", SETTINGS).is_ok());
    let text = SETTINGS.replacen(old, new, 1);
    let errors = error_messages(read_settings("x.ini", &text));
    assert!(errors.iter().any(|found| found == expected), "{errors:#?}");
}

/// Guards against accepting a declaration with values that routing or orders cannot use.
#[parameterized(
    wrong_word = { "kind = engine\n", "kind = engin\n", "x.ini:3: kind: found `engin`, allowed engine, service; did you mean engine" },
    wrong_labels = { "pool=large", "pool", "x.ini:6: labels: found `pool`, allowed a label set: distinct pairs such as model=quill,tier=a" },
    wrong_selector = { "targets = kind=engine", "targets = kind in engine", "x.ini:11: targets: found `kind in engine`, allowed a selector: terms such as model=quill,tier in (a,b),!retired" },
    wrong_hash = { "00ff", "00fg", "x.ini:8: key_sha256: found `00000000000000000000000000000000000000000000000000000000000000fg`, allowed 64 hexadecimal digits" },
    wrong_weight = { "weight = 2", "weight = 0", "x.ini:9: weight: found `0`, allowed an integer from 1 to 1000" },
    wrong_boolean = { "labels = pool=large", "fencing = yes", "x.ini:6: fencing: found `yes`, allowed true or false" },
    no_name = { "[domain patan]", "[domain]", "x.ini:1: [domain]: found ``, allowed 1 to 128 bytes" },
    wrong_name = { "[domain patan]", "[domain pa tan]", "x.ini:1: [domain pa tan]: found `pa tan`, allowed letters, digits and -_.:" },
    unknown_kind = { "[domain patan]", "[zone patan]", "x.ini:1: [zone patan]: found an unknown section, allowed [domain NAME], [fleet], [model NAME], [node NAME], [rollout NAME], [route NAME], [service NAME], [target NAME], [workspace NAME]; did you mean [node NAME]" },
)]
fn declaration_errors_name_line_value_and_allowed(old: &str, new: &str, expected: &str) {
    assert!(read_declaration("x.ini", DECLARATION).is_ok());
    let text = DECLARATION.replacen(old, new, 1);
    let errors = error_messages(read_declaration("x.ini", &text));
    assert!(errors.iter().any(|found| found == expected), "{errors:#?}");
}

/// Guards against a check that stops at the first error, so that operators have to repeat it for
/// each.
#[test]
fn all_errors_are_reported_at_once_in_the_order_of_the_lines() {
    let text = "[node]\nnam = x\nevents = 1\n[callers]\nlisten = here\n[extra]\n";
    let errors = read_settings("x.ini", text).unwrap_err();
    let places: Vec<_> = errors
        .iter()
        .map(|error| (error.line, error.key.as_str()))
        .collect();
    let expected = [
        (1, "[operators]"),
        (1, "[peers]"),
        (1, "[platform]"),
        (1, "domain"),
        (1, "name"),
        (2, "nam"),
        (3, "events"),
        (5, "listen"),
        (6, "[extra]"),
    ];
    assert_eq!(places, expected);
}

/// Guards against a secret in an error message, which may be logged. Here the key of the secret is
/// misspelt.
#[test]
fn a_secret_is_never_part_of_a_message() {
    let text = SETTINGS.replace("key = a-secret-of-some-length", "kay = hunter2-hunter2");
    let errors = error_messages(read_settings("x.ini", &text)).join("\n");
    assert!(!errors.contains("hunter2"));
}

/// Guards against wrong line numbers after CRLF line ends, comments or a byte order mark.
#[test]
fn comments_blank_lines_and_line_ends_keep_line_numbers() {
    let text = format!("\u{feff}; comment\r\n# comment = 1\r\n\r\n{SETTINGS}  ; more\r\nextra = 1");
    let errors = read_settings("x.ini", &text).unwrap_err();
    assert_eq!(errors.len(), 1);
    assert_eq!((errors[0].line, errors[0].key.as_str()), (17, "extra"));
}

/// Guards against schema keywords that the INI checks do not implement and would ignore.
#[test]
fn the_checks_implement_every_keyword_of_the_schemas() {
    const IMPLEMENTED: [&str; 13] = [
        "$ref",
        "additionalProperties",
        "default",
        "description",
        "enum",
        "format",
        "maximum",
        "maxLength",
        "minLength",
        "minimum",
        "properties",
        "required",
        "type",
    ];
    for text in [
        include_str!("../schema/settings.json"),
        include_str!("../schema/declaration.json"),
    ] {
        let root: serde_json::Value = serde_json::from_str(text).unwrap();
        let definitions = root["definitions"].as_object().unwrap().values();
        let nested = definitions.clone().flat_map(|definition| {
            let properties = definition["properties"].as_object();
            properties.into_iter().flat_map(|object| object.values())
        });
        for rule in definitions.clone().chain(nested) {
            for keyword in rule.as_object().unwrap().keys() {
                assert!(IMPLEMENTED.contains(&keyword.as_str()), "{keyword}");
            }
            let format = rule["format"].as_str().unwrap_or("sha256-hex");
            assert!(
                ["sha256-hex", "socket-address"].contains(&format),
                "{format}"
            );
        }
    }
}
