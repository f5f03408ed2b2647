use std::cmp::Ordering as Order;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::{
    CallRate, DomainName, ErrorKind, IncarnationNumber, RequestId, ServiceName, TimeSpan,
    TokenCount, TokenRate,
};
use entry::{
    ConfigVersion, EngineSpec, ItemChange, PublishedItem, RepeatPolicy, RequestLimits, RouteRule,
    ServeConfig, ServiceSpec, ServiceWeight, StorePosition, TargetRecord, WorkspaceIdentity,
    WorkspaceRule,
};
use gateway::{
    BackoffRequest, CallerHeaders, CopyOutcome, DecodeError, EngineControl, EngineReport,
    GatewayPorts, GatewaySettings, GenerationSize, HeaderCodec, HeaderError, ItemBatch, PortFuture,
    RateNotice, RefusalNotice, ResponseHeaders, SettingsSource, SourceError, TargetHeaders,
    ViewArea, ViewDecoder, ViewSource,
};
use http::header::{HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::fake_target::FakeTarget;

/// In-memory store of published items, which tests can write and take down.
pub struct FakeStore {
    items: Mutex<Vec<(ViewArea, PublishedItem)>>,
    revision: watch::Sender<u64>,
    /// Whether the store rejects all requests.
    pub is_down: AtomicBool,
    /// Number of requests for the configuration that were not rejected when they arrived.
    pub config_reads: AtomicUsize,
    /// Number of requests for the configuration that were rejected.
    pub rejected_config_reads: AtomicUsize,
    /// Requests whose responses are lost, and the failure domains of which they are; all if none is
    /// named.
    lost: Mutex<(LostResponses, Vec<DomainName>)>,
    /// Revision of the last removal.
    removed_at: AtomicU64,
    /// Areas of which the next request panics.
    panics: Mutex<Vec<ViewArea>>,
}

/// Requests to a fake store whose responses are lost while their connections stay open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LostResponses {
    /// None are.
    #[default]
    None,
    /// Those that wait for changes of the configuration.
    ConfigChanges,
    /// Those that wait for changes of either area.
    AllChanges,
    /// All of them.
    All,
}

impl LostResponses {
    fn includes(self, area: ViewArea, is_wait: bool) -> bool {
        match self {
            Self::None => false,
            Self::ConfigChanges => is_wait && area == ViewArea::Config,
            Self::AllChanges => is_wait,
            Self::All => true,
        }
    }
}

/// Time after which a client gives up a request that has no response, beyond the time for which the
/// store holds it.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_200);

impl FakeStore {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            items: Mutex::new(Vec::new()),
            revision: watch::Sender::new(0),
            is_down: AtomicBool::new(false),
            config_reads: AtomicUsize::new(0),
            rejected_config_reads: AtomicUsize::new(0),
            lost: Mutex::default(),
            removed_at: AtomicU64::new(0),
            panics: Mutex::default(),
        })
    }

    /// Lets the next request for an area panic in the gateway.
    pub fn panic_once(&self, area: ViewArea) {
        self.panics.lock().unwrap().push(area);
    }

    fn panic_if_asked(&self, area: ViewArea) {
        let mut panics = self.panics.lock().unwrap();
        let Some(index) = panics.iter().position(|one| *one == area) else {
            return;
        };
        panics.remove(index);
        drop(panics);
        panic!("a request for {area} panics, as the test asks");
    }

    /// Loses responses to all gateways from now on.
    pub fn lose(&self, lost: LostResponses) {
        *self.lost.lock().unwrap() = (lost, Vec::new());
    }

    /// Loses responses to the gateways of some failure domains from now on.
    pub fn lose_in(&self, domains: &[&str], lost: LostResponses) {
        let domains = domains.iter().map(|domain| domain.parse().unwrap());
        *self.lost.lock().unwrap() = (lost, domains.collect());
    }

    /// Waits until the client gives up, if the response to its request is lost.
    async fn lose_response(
        &self,
        domain: &DomainName,
        area: ViewArea,
        wait: Option<TimeSpan>,
    ) -> Result<(), SourceError> {
        let (lost, only) = self.lost.lock().unwrap().clone();
        let is_affected = only.is_empty() || only.contains(domain);
        if !is_affected || !lost.includes(area, wait.is_some()) {
            return Ok(());
        }
        sleep(CLIENT_TIMEOUT + Duration::from(wait.unwrap_or_default())).await;
        let reason = "response lost".to_owned();
        Err(SourceError::Unreachable { reason })
    }

    /// Publishes a configuration: plain routes, a stream route, and a key for `/locked/`.
    pub fn put_config(&self, version: u64) {
        self.put(ViewArea::Config, "config", &version.to_string());
    }

    /// Publishes a configuration in which targets of all services take `per_s` requests a second
    /// while they are cold.
    pub fn put_cold_config(&self, version: u64, per_s: u64) {
        self.put(
            ViewArea::Config,
            "config",
            &format!("{version} cold={per_s}"),
        );
    }

    /// Publishes a configuration in which the key belongs to another workspace.
    pub fn put_config_with_owner(&self, version: u64, owner: &str) {
        self.put_config_without(version, &format!("owner={owner}"));
    }

    /// Publishes a configuration in which a route has moved to the service `spare`.
    pub fn put_config_with_moved(&self, version: u64, route: &str) {
        self.put_config_without(version, &format!("moved={route}"));
    }

    /// Publishes the configuration without the key or route `name`.
    pub fn put_config_without(&self, version: u64, name: &str) {
        self.put(ViewArea::Config, "config", &format!("{version} {name}"));
    }

    /// Publishes a target as the first run of its process.
    pub fn put_target(&self, target: &FakeTarget, state: &str) {
        self.put_run(target, state, 1);
    }

    /// Publishes a target as run `run` of its process.
    pub fn put_run(&self, target: &FakeTarget, state: &str, run: u64) {
        let value = format!("{} {} {state} {run}", target.service, target.address);
        self.put(ViewArea::Targets, &target.name, &value);
    }

    /// Publishes a target at an address other than its own.
    pub fn put_target_at(&self, target: &FakeTarget, address: SocketAddr) {
        let value = format!("{} {address} ready 1", target.service);
        self.put(ViewArea::Targets, &target.name, &value);
    }

    /// Publishes a target of a failure domain that stays cold for `cold_ms`.
    pub fn put_in(&self, target: &FakeTarget, domain: &str, cold_ms: u64) {
        let value = format!(
            "{} {} ready 1 {domain} {cold_ms}",
            target.service, target.address
        );
        self.put(ViewArea::Targets, &target.name, &value);
    }

    /// Asks that nothing more be sent to the targets of a failure domain.
    pub fn evacuate(&self, domain: &str) {
        self.put(ViewArea::Config, &format!("evacuate/{domain}"), "{}");
    }

    /// Takes the evacuation of a failure domain back.
    pub fn take_back(&self, domain: &str) {
        self.remove(&format!("evacuate/{domain}"));
    }

    pub fn remove_target(&self, target: &FakeTarget) {
        self.remove(&target.name);
    }

    fn remove(&self, key: &str) {
        let mut items = self.items.lock().unwrap();
        items.retain(|(_, item)| item.key != key);
        drop(items);
        let revision = *self.revision.borrow() + 1;
        self.removed_at.store(revision, Ordering::Relaxed);
        self.revision.send_replace(revision);
    }

    fn put(&self, area: ViewArea, key: &str, value: &str) {
        let mut items = self.items.lock().unwrap();
        items.retain(|(_, item)| item.key != key);
        let revision = *self.revision.borrow() + 1;
        let item = PublishedItem {
            key: key.into(),
            revision,
            value: value.as_bytes().to_vec(),
        };
        items.push((area, item));
        drop(items);
        self.revision.send_replace(revision);
    }

    fn all(&self, area: ViewArea) -> (u64, Vec<PublishedItem>) {
        let items = self.items.lock().unwrap();
        let of_area = items.iter().filter(|(of, _)| *of == area);
        let items = of_area.map(|(_, item)| item.clone()).collect();
        (*self.revision.borrow(), items)
    }

    /// Whether an area has changes after a revision.
    fn has_changed(&self, area: ViewArea, after: u64) -> bool {
        let (_, items) = self.all(area);
        self.removed_at.load(Ordering::Relaxed) > after
            || items.iter().any(|item| item.revision > after)
    }

    /// Rejects the request while the store is down, and counts reads of the configuration.
    fn check(&self, area: ViewArea) -> Result<(), SourceError> {
        self.panic_if_asked(area);
        let checked = self.check_up();
        if area == ViewArea::Config {
            let count = match checked.is_ok() {
                true => &self.config_reads,
                false => &self.rejected_config_reads,
            };
            count.fetch_add(1, Ordering::Relaxed);
        }
        checked
    }

    /// Rejects the request while the store is down.
    fn check_up(&self) -> Result<(), SourceError> {
        match self.is_down.load(Ordering::Relaxed) {
            true => Err(SourceError::Rejected { status: 503 }),
            false => Ok(()),
        }
    }
}

/// Client of one gateway for the fake store.
pub struct StoreAccess {
    pub store: Arc<FakeStore>,
    /// Failure domain of the gateway.
    pub domain: DomainName,
}

impl ViewSource for StoreAccess {
    fn read_all(
        &self,
        area: ViewArea,
    ) -> PortFuture<'_, Result<(StorePosition, Vec<PublishedItem>), SourceError>> {
        Box::pin(async move {
            self.store.check(area)?;
            let (revision, items) = self.store.all(area);
            self.store.lose_response(&self.domain, area, None).await?;
            Ok((revision.into(), items))
        })
    }

    fn wait_changes(
        &self,
        area: ViewArea,
        after: StorePosition,
        wait: TimeSpan,
    ) -> PortFuture<'_, Result<ItemBatch, SourceError>> {
        Box::pin(async move {
            self.store.check(area)?;
            let after = after.revision;
            let mut revision = self.store.revision.subscribe();
            let changed = revision.wait_for(|_| self.store.has_changed(area, after));
            // Without a change the response is empty.
            let _ = timeout(Duration::from(wait), changed).await;
            self.store.check_up()?;
            self.store
                .lose_response(&self.domain, area, Some(wait))
                .await?;
            // The store keeps no removals: the gateway has to read the area anew to learn of one.
            if self.store.removed_at.load(Ordering::Relaxed) > after {
                return Err(SourceError::HistoryCompacted);
            }
            let (revision, mut items) = self.store.all(area);
            items.retain(|item| item.revision > after);
            let changes = items.into_iter().map(ItemChange::Written).collect();
            Ok(ItemBatch {
                position: revision.into(),
                changes,
            })
        })
    }
}

/// Decodes the items of `FakeStore`.
struct FakeDecoder;

impl ViewDecoder for FakeDecoder {
    fn read_config(&self, items: &[PublishedItem]) -> Result<Option<ServeConfig>, DecodeError> {
        let Some(item) = items.iter().find(|item| item.key == "config") else {
            return Ok(None);
        };
        let text = String::from_utf8_lossy(&item.value);
        let (version, without) = text.split_once(' ').unwrap_or((&text, ""));
        let version = version.parse().map_err(|_| DecodeError {
            key: item.key.to_string(),
            reason: "no number".to_owned(),
        })?;
        Ok(Some(make_config(version, without)))
    }

    fn read_evacuation(&self, item: &PublishedItem) -> Result<Option<DomainName>, DecodeError> {
        let domain = item.key.strip_prefix("evacuate/");
        Ok(domain.map(|domain| domain.parse().unwrap()))
    }

    /// Compares the version of a configuration; the run and the number of the report, the last word of an
    /// entry that has one.
    fn compare_age(&self, left: &PublishedItem, right: &PublishedItem) -> Option<Order> {
        let age = |item: &PublishedItem| {
            let text = String::from_utf8_lossy(&item.value).into_owned();
            if item.key == "config" {
                return Some((text.split(' ').next()?.parse().ok()?, 0));
            }
            let mut words = text.split(' ').skip(3);
            let run: u64 = words.next()?.parse().ok()?;
            let report: u64 = words.nth(2)?.parse().ok()?;
            Some((run, report))
        };
        Some(age(left)?.cmp(&age(right)?))
    }

    fn read_target(&self, item: &PublishedItem) -> Result<TargetRecord, DecodeError> {
        let text = String::from_utf8_lossy(&item.value);
        let parts: Vec<&str> = text.split(' ').collect();
        let [service, address, state, run, ref rest @ ..] = parts[..] else {
            return Err(DecodeError {
                key: item.key.to_string(),
                reason: format!("found {text:?}"),
            });
        };
        Ok(TargetRecord {
            name: item.key.parse().unwrap(),
            service: service.parse().unwrap(),
            address: address.parse().unwrap(),
            domain: rest.first().unwrap_or(&"patan").parse().unwrap(),
            is_leaving: state == "leaving",
            slots: 4,
            cold_left: rest
                .get(1)
                .map_or(TimeSpan::ZERO, |cold| TimeSpan::new(cold.parse().unwrap())),
            incarnation: IncarnationNumber(run.parse().unwrap()),
        })
    }
}

/// Builds the test configuration without the key or route named `without`.
fn make_config(version: u64, without: &str) -> ServeConfig {
    let route = |prefix: &str, service: &str, repeat, max_attempts| RouteRule {
        name: prefix.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        services: vec![ServiceWeight {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        repeat,
        timeout: TimeSpan::from_secs(5),
        latency_target: TimeSpan::new(400),
        pause_limit: None,
        priority: 0,
        max_attempts,
        is_public: prefix != "/locked/",
    };
    let mut short = route("/short/", "app", RepeatPolicy::AtMostOnce, 1);
    short.timeout = TimeSpan::new(150);
    let mut stream = route("/stream/", "pool", RepeatPolicy::Stream, 1);
    stream.timeout = TimeSpan::from_secs(20);
    let mut paced = route("/paced/", "pool", RepeatPolicy::Stream, 1);
    paced.pause_limit = Some(TimeSpan::new(180));
    let mut patient = route("/patient/", "pool", RepeatPolicy::Stream, 1);
    patient.timeout = TimeSpan::from_secs(20);
    patient.latency_target = TimeSpan::from_secs(4);
    let guarded = RouteRule {
        name: "/guarded/".into(),
        prefix: "/guarded/".into(),
        is_public: false,
        ..patient.clone()
    };
    let mut kept = RouteRule {
        name: "/kept/".into(),
        prefix: "/kept/".into(),
        repeat: RepeatPolicy::AtMostOnce,
        ..guarded.clone()
    };
    // The other service has targets with the same number of slots.
    kept.services[0].service = "app".parse().unwrap();
    let move_route = |mut route: RouteRule| {
        if without.strip_prefix("moved=") == Some(route.name.as_str()) {
            route.services[0].service = "spare".parse().unwrap();
        }
        route
    };
    let engine = EngineSpec {
        slots: 8,
        memory: TokenCount(50_000),
        can_move: true,
        event_tokens: 1,
        copy_rate: TokenRate(100_000),
    };
    let cold_rate = without.strip_prefix("cold=");
    let cold_rate = cold_rate.map(|per_s| CallRate(per_s.parse::<u64>().unwrap() * 1_000));
    let [pool, app, spare]: [ServiceName; 3] =
        ["pool", "app", "spare"].map(|name| name.parse().unwrap());
    let mut routes = vec![
        route("/once/", "app", RepeatPolicy::AtMostOnce, 1),
        route("/read/", "app", RepeatPolicy::Idempotent, 2),
        stream,
        paced,
        patient,
        move_route(guarded),
        move_route(kept),
        route("/locked/", "app", RepeatPolicy::Idempotent, 1),
        short,
    ];
    routes.retain(|route| route.name != without);
    let owner = without.strip_prefix("owner=").unwrap_or("depot");
    let mut keys = vec!["key-1".into()];
    keys.retain(|key: &SmolStr| key != without);
    ServeConfig::new(ConfigVersion(version), RequestLimits::default())
        .with_routes(routes)
        .with_services(vec![
            ServiceSpec {
                name: pool,
                engine: Some(engine),
                cold_rate,
            },
            ServiceSpec {
                name: app,
                engine: None,
                cold_rate,
            },
            ServiceSpec {
                name: spare,
                engine: None,
                cold_rate,
            },
        ])
        .with_workspaces(vec![WorkspaceRule {
            identity: WorkspaceIdentity {
                name: owner.parse().unwrap(),
                label: owner.into(),
            },
            keys,
            priority: None,
        }])
}

/// Codec of the headers that the tests use.
struct FakeHeaders;

impl HeaderCodec for FakeHeaders {
    fn read_caller_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, HeaderError> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let request = text("x-id").unwrap_or_default();
        let request: RequestId = request.parse().map_err(|_| HeaderError {
            name: "x-id",
            found: request.to_owned(),
            expected: "an identifier",
        })?;
        Ok(CallerHeaders {
            request_id: request,
            remaining: text("x-wait").map(|wait| TimeSpan::new(wait.parse().unwrap())),
            key: text("x-key").map(Into::into),
            shared_parts: text("x-parts")
                .into_iter()
                .flat_map(|parts| parts.split(','))
                .map(|part| part.parse().unwrap())
                .collect(),
            generation: text("x-size").map(|size| GenerationSize {
                prompt: TokenCount(100),
                output_limit: TokenCount(size.parse().unwrap()),
                output_hint: text("x-hint").map(|hint| TokenCount(hint.parse().unwrap())),
            }),
        })
    }

    fn write_target_headers(&self, headers: &mut HeaderMap, head: &TargetHeaders<'_>) {
        headers.remove("x-key");
        let mut set = |name: &'static str, value: &str| {
            headers.insert(name, HeaderValue::from_str(value).unwrap());
        };
        set("x-target", head.target.as_str());
        if let Some(workspace) = head.workspace {
            set("x-workspace", workspace);
        }
        if let Some(point) = head.resume {
            set("x-resume", &point.handle);
            set("x-last", point.last_event_id.as_deref().unwrap_or("0"));
        }
    }

    fn read_response_headers(
        &self,
        request: &RequestId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseHeaders {
        let id = headers.get("x-id").and_then(|value| value.to_str().ok());
        ResponseHeaders {
            is_refused: headers.contains_key("x-not-run"),
            is_genuine: id == Some(request.as_str()),
            rate: Some(
                headers
                    .get("x-rate")
                    .map_or(RateNotice::Unlimited, |value| {
                        let text = value.to_str().unwrap();
                        let rate = text.parse().map(|rate| RateNotice::Limited(CallRate(rate)));
                        rate.unwrap_or_else(|_| RateNotice::Unparsable(text.into()))
                    }),
            ),
            refusals: Some(
                headers
                    .get("x-refusals")
                    .map_or(RefusalNotice::Unlimited, |value| {
                        let text = value.to_str().unwrap();
                        let limit = text.parse().map(RefusalNotice::Limited);
                        limit.unwrap_or_else(|_| RefusalNotice::Unparsable(text.into()))
                    }),
            ),
            is_misdirected: status == StatusCode::MISDIRECTED_REQUEST,
            is_leaving: self.announces_leaving(headers),
            backoff: headers.get(RETRY_AFTER).map(|value| {
                assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
                let millis = value.to_str().unwrap().parse();
                millis.map_or_else(
                    |_| BackoffRequest::Unparsable("unclear".into()),
                    |millis| BackoffRequest::For(TimeSpan::new(millis)),
                )
            }),
        }
    }

    fn announces_leaving(&self, headers: &HeaderMap) -> bool {
        headers.contains_key("x-leaving")
    }

    fn error_status(&self, kind: ErrorKind) -> StatusCode {
        StatusCode::from_u16(kind.response().status).unwrap()
    }

    fn write_retry_after(&self, headers: &mut HeaderMap, wait: TimeSpan) {
        let seconds = wait.as_secs_ceil().to_string();
        headers.insert(RETRY_AFTER, HeaderValue::from_str(&seconds).unwrap());
    }
}

/// Forwards control requests to the fake targets.
struct FakeEngines;

impl EngineControl for FakeEngines {
    fn copy_kv_cache<'a>(
        &'a self,
        source: SocketAddr,
        request: &'a RequestId,
        _destination: SocketAddr,
        stop_source: bool,
    ) -> PortFuture<'a, CopyOutcome> {
        Box::pin(async move {
            FakeTarget::record_arrival(source);
            sleep(FakeTarget::copy_time(source)).await;
            FakeTarget::copy(source, request.as_str(), stop_source)
        })
    }

    fn fetch_report(&self, engine: SocketAddr) -> PortFuture<'_, Result<EngineReport, String>> {
        Box::pin(async move { FakeTarget::report(engine) })
    }

    fn release_copy<'a>(&'a self, source: SocketAddr, _handle: &'a str) -> PortFuture<'a, ()> {
        Box::pin(async move { FakeTarget::record_arrival(source) })
    }
}

/// Settings that do not change.
struct FixedSettings(GatewaySettings);

impl SettingsSource for FixedSettings {
    fn read(&self) -> Result<GatewaySettings, String> {
        Ok(self.0.clone())
    }
}

/// Ports of one gateway that uses the fake store and fake targets.
pub fn ports(store: Arc<FakeStore>, settings: GatewaySettings) -> GatewayPorts {
    GatewayPorts {
        headers: Arc::new(FakeHeaders),
        items: Arc::new(FakeDecoder),
        source: Arc::new(StoreAccess {
            store,
            domain: settings.domain.clone(),
        }),
        engines: Arc::new(FakeEngines),
        settings: Arc::new(FixedSettings(settings)),
    }
}
