//! Lookup of routes and authorization by keys.

use base::{ClockTime, TimeSpan};
use entry::{
    ConfigLag, ConfigVersion, KeyDenial, RepeatPolicy, RequestLimits, RouteRule, ServeConfig,
    ServiceWeight, WorkspaceIdentity, WorkspaceRule,
};
use yare::parameterized;

fn route(host: &str, prefix: &str, service: &str) -> RouteRule {
    RouteRule {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        services: vec![ServiceWeight {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        repeat: RepeatPolicy::Idempotent,
        timeout: TimeSpan::from_secs(1),
        latency_target: TimeSpan::new(100),
        pause_limit: None,
        priority: 0,
        max_attempts: 2,
        is_public: false,
    }
}

fn config() -> ServeConfig {
    ServeConfig::new(ConfigVersion(3), RequestLimits::default())
        .with_routes(vec![
            route("a.example", "/", "root"),
            route("b.example", "/x/", "other"),
            route("a.example", "/x/y/", "deep"),
            route("a.example", "/x/", "shallow"),
        ])
        .with_workspaces(vec![WorkspaceRule {
            identity: WorkspaceIdentity {
                name: "depot".parse().unwrap(),
                label: "depot".into(),
            },
            keys: vec!["k2".into(), "k1".into()],
            priority: Some(1),
        }])
}

// Guards against routing a call to the service of a shorter prefix or of another host.
#[parameterized(
    deep = { "a.example", "/x/y/z", Some("deep") },
    shallow = { "a.example", "/x/yz", Some("shallow") },
    root = { "a.example", "/x", Some("root") },
    other_host = { "b.example", "/x/1", Some("other") },
    no_prefix = { "b.example", "/y/", None },
    no_host = { "c.example", "/x/", None },
)]
fn finds_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    let config = config();
    let found = config
        .route(host, path)
        .and_then(|route| route.pick_service(0));
    assert_eq!(found.map(|name| name.as_str()), expected);
}

// Guards against accepting an unknown key, such as a revoked one, or refusing a valid one.
#[parameterized(
    first = { Some("k1"), Ok(Some("depot")) },
    second = { Some("k2"), Ok(Some("depot")) },
    unknown = { Some("k3"), Err(KeyDenial) },
    missing = { None, Err(KeyDenial) },
)]
fn checks_keys(key: Option<&str>, expected: Result<Option<&str>, KeyDenial>) {
    let config = config();
    let found = config.authorize(&route("a.example", "/", "root"), key);
    let found = found.map(|rule| rule.map(|rule| rule.identity.name.as_str()));
    assert_eq!(found, expected);
}

// Guards against requiring a key where the route is public or no workspace is declared.
#[test]
fn needs_no_key_on_public_routes_or_without_workspaces() {
    let mut public = route("a.example", "/", "root");
    public.is_public = true;
    assert_eq!(config().authorize(&public, None), Ok(None));
    let open = ServeConfig::new(ConfigVersion(1), RequestLimits::default());
    let closed = route("a.example", "/", "root");
    assert_eq!(open.authorize(&closed, Some("k9")), Ok(None));
}

// Guards against a node that answers by an older configuration without a word in its log, and one that repeats
// the word on each tick.
#[test]
fn a_configuration_that_peers_have_is_reported_once_for_each_time_without_it() {
    let version = ConfigVersion;
    let at = ClockTime::new;
    let mut lag = ConfigLag::default();
    lag.record_peer(at(0), version(5), version(7));
    lag.record_peer(at(900), version(5), version(8));
    assert_eq!(lag.take_report(at(1_000), version(5)), None);
    let expected = Some((version(8), TimeSpan::new(1_100)));
    assert_eq!(lag.take_report(at(1_100), version(5)), expected);
    assert_eq!(lag.take_report(at(1_200), version(5)), None);
    lag.record_peer(at(2_000), version(8), version(9));
    assert_eq!(lag.lag(at(2_500), version(9)), None);
    let expected = Some((version(9), TimeSpan::new(1_001)));
    assert_eq!(lag.take_report(at(3_001), version(8)), expected);
}
