//! The cases.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;

use crate::engine::{Engine, EngineSetup, Fleet, Pace, Resumes, RunEnd};
use crate::requester::{Answer, Requester, Sent};
use crate::{Gateway, Lab, Machine, Store, Verdict, sleep_ms, start_gateways};

const HOST: &str = "ficu95.example";
const KEY: &str = "xd9dnn2ctnfzs989anu6";
const SERVICE: &str = "huvo11a";

pub fn run(case: &str, lab: &Lab) -> Verdict {
    match case {
        "stop" => stop(lab),
        "left" => left(lab),
        "named" => named(lab),
        "handed" => handed(lab),
        "crashed" => crashed(lab),
        "quiet" => quiet(lab),
        _ => Err(format!("there is no case {case:?}")),
    }
}

fn text(error: impl ToString) -> String {
    error.to_string()
}

/// The configuration: one route of streams on model runners.
fn config(version: u64, target_ms: u64, gap_ms: u64, timeout_ms: u64) -> String {
    let route = route("lohu930", target_ms, gap_ms, timeout_ms);
    whole_config(
        version,
        &route,
        &format!("{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}"),
    )
}

/// A route of streams on model runners.
fn route(prefix: &str, target_ms: u64, gap_ms: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"r-{prefix}\",\"host\":\"{HOST}\",\"prefix\":\"/{prefix}/\",\"routeType\":\"streaming\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gapAimMs\":{gap_ms}}}"
    )
}

fn whole_config(version: u64, routes: &str, tenants: &str) -> String {
    slots_config(version, routes, tenants, 24)
}

fn slots_config(version: u64, routes: &str, tenants: &str, slots: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":252,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{slots},\"kvCapacity\":34288,\"kvBytes\":163840,\"linkMbps\":24000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{tenants}]}}"
    )
}

struct Site {
    store: Store,
    fleet: Fleet,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
}

/// Starts a store with a configuration, two model runners and two gateways in one zone.
fn start_site(lab: &Lab, config: &str, paces: [(Pace, Resumes); 2]) -> Result<Site, String> {
    let store = Store::start("127.0.0.1", &lab.ended).map_err(text)?;
    store.put("op/config", config);
    let fleet = Fleet::default();
    let mut engines = Vec::new();
    for (number, (pace, resumes)) in paces.into_iter().enumerate() {
        let (id, ip) = (
            format!("i-{number}a40c51"),
            format!("127.88.1.{}", number + 1),
        );
        let setup = EngineSetup {
            id: &id,
            ip: &ip,
            service: SERVICE,
            zone: "patan",
            pace,
            resumes,
        };
        engines.push(Engine::start(lab, &fleet, setup).map_err(text)?);
    }
    engines.iter().for_each(|engine| engine.register(&store));
    let machines = [
        Machine {
            name: "edge-patan-1",
            ip: "127.88.2.1",
            zone: "patan",
        },
        Machine {
            name: "edge-patan-2",
            ip: "127.88.2.2",
            zone: "patan",
        },
    ];
    let gateways = start_gateways(&lab.folder, &store, &machines)?;
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    lab.record.add("all gateways are ready");
    // For `contactMs` and more, nothing happens.
    sleep_ms(4_000);
    Ok(Site {
        store,
        fleet,
        engines,
        gateways,
    })
}

/// Opens a connection and gets one short answer on it, so that it is a kept one.
fn keep(lab: &Lab, gateway: &Gateway) -> Result<Requester, String> {
    let mut requester = Requester::connect(lab, gateway.front, HOST, KEY).map_err(text)?;
    let short = Sent {
        method: "POST",
        path: "/lohu930/2f",
        tokens: Some((200, 4)),
        budget_ms: 6_000,
        body: "short",
    };
    let (id, at) = requester.send(&short).map_err(text)?;
    let answer = requester.read(&id, at, |_| true);
    match answer.status == 200 && answer.is_complete {
        true => Ok(requester),
        false => Err(format!(
            "the first request on a connection failed: {answer:?}"
        )),
    }
}

/// LOST around a SIGTERM: streams that are sent on kept connections between 3.1 s and 3.6 s after the
/// SIGTERM, to runners that are on time: the first event after 1.2 s, of 1.5 s allowed, and pauses of
/// 100 ms, of 180 ms allowed.
fn stop(lab: &Lab) -> Verdict {
    let pace = Pace {
        first_ms: 1_200,
        event_ms: 100,
        copy_ms: 20,
        plain_ms: 0,
    };
    let mut site = start_site(
        lab,
        &config(1, 1_500, 180, 7_000),
        [(pace, Resumes::Served); 2],
    )?;
    let kept: Result<Vec<_>, _> = thread::scope(|scope| {
        let opened: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| keep(lab, &site.gateways[0])))
            .collect();
        opened
            .into_iter()
            .map(|one| {
                one.join()
                    .unwrap_or_else(|_| Err("a requester failed".to_owned()))
            })
            .collect()
    });
    let kept = kept?;
    sleep_ms(1_000);
    if lab.trouble {
        lab.record.add("the platform sends SIGTERM to edge-patan-1");
        site.gateways[0].signal("TERM");
    }
    let term_at = lab.record.now();
    let (sender, answers) = channel::<Answer>();
    for (number, mut requester) in kept.into_iter().enumerate() {
        let sender = sender.clone();
        let send_at = term_at + 3_100 + 60 * number as u64;
        let lab = lab.clone();
        thread::spawn(move || {
            sleep_ms(send_at.saturating_sub(lab.record.now()));
            let long = Sent {
                method: "POST",
                path: "/lohu930/2f",
                tokens: Some((2_200, 160)),
                budget_ms: 7_000,
                body: "assess the load",
            };
            if let Ok((id, at)) = requester.send(&long) {
                let answer = requester.read(&id, at, |_| true);
                let _ = sender.send(answer);
            }
        });
    }
    drop(sender);
    // The platform kills what is left `graceS` after its SIGTERM.
    if lab.trouble {
        while !site.gateways[0].has_ended() && lab.record.now() < term_at + 8_000 {
            sleep_ms(5);
        }
        match site.gateways[0].has_ended() {
            true => lab.record.add("edge-patan-1 has ended by itself"),
            false => {
                site.gateways[0].signal("KILL");
                lab.record.add("the platform sends SIGKILL to edge-patan-1")
            }
        };
    }
    let answers: Vec<Answer> = answers.iter().collect();
    // The runners notice a closed connection within some milliseconds.
    sleep_ms(500);
    let arrivals = site.fleet.arrivals.lock().unwrap().clone();
    let mut broken = 0;
    for answer in &answers {
        let run = arrivals
            .iter()
            .find(|arrival| arrival.request == answer.request);
        // Not counted: sent up to 3 s after the SIGTERM; the runner broke off; the time budget was reached.
        let is_late_sent = answer.sent_at > term_at + 3_000;
        let is_at_work = run.is_some_and(|run| run.end == Some(RunEnd::Closed));
        let is_in_time = answer.ended_at < answer.sent_at + 7_000;
        if is_late_sent && !answer.is_complete && is_at_work && is_in_time {
            broken += 1;
            lab.record.add(format!(
                "LOST: {} was sent {} ms after the SIGTERM, passed on to a runner, and its connection ended without a complete answer {} ms after the SIGTERM",
                answer.request, answer.sent_at - term_at, answer.ended_at - term_at
            ));
        }
    }
    lab.record
        .add(format!("{} requests, {broken} lost", answers.len()));
    if answers.len() < 8 {
        return Err("not all requests could be sent".to_owned());
    }
    Ok(broken == 0)
}

/// GONE while streams are moved off a runner that leaves.
fn left(lab: &Lab) -> Verdict {
    let pace = Pace {
        first_ms: 300,
        event_ms: 60,
        copy_ms: 20,
        plain_ms: 0,
    };
    let resumes = if lab.trouble {
        Resumes::Hang(4_000)
    } else {
        Resumes::Served
    };
    let site = start_site(
        lab,
        &config(1, 500, 100, 39_000),
        [(pace, Resumes::Served), (pace, resumes)],
    )?;
    // Five more runners in other zones, which are sound.
    let mut others = Vec::new();
    for (number, zone) in ["balaju", "balaju", "thapathali", "thapathali", "bhaktapur"]
        .into_iter()
        .enumerate()
    {
        let (id, ip) = (
            format!("i-{}a40c51", number + 2),
            format!("127.88.1.{}", number + 3),
        );
        let setup = EngineSetup {
            id: &id,
            ip: &ip,
            service: SERVICE,
            zone,
            pace,
            resumes: Resumes::Served,
        };
        others.push(Engine::start(lab, &site.fleet, setup).map_err(text)?);
    }
    let closes: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let mut readers = Vec::new();
    // The other runners are not listed until the streams run, so that all run at the first one.
    site.store
        .remove(&format!("servers/{}", site.engines[1].id));
    sleep_ms(2_500);
    for number in 0..22 {
        let (lab, closes, front) = (lab.clone(), closes.clone(), site.gateways[0].front);
        readers.push(thread::spawn(move || -> Result<Answer, String> {
            let mut requester = Requester::connect(&lab, front, HOST, KEY).map_err(text)?;
            let long = Sent {
                method: "POST",
                path: "/lohu930/2f",
                tokens: Some((1_000, 800)),
                budget_ms: 39_000,
                body: "draft the round",
            };
            let (id, at) = requester.send(&long).map_err(text)?;
            // A requester abandons a stream after a gap of 2 s.
            let _ = requester
                .conn
                .stream
                .set_read_timeout(Some(std::time::Duration::from_secs(2)));
            // The last four requesters leave after 75 events, as some do anyway.
            let mut events = 0;
            let answer = requester.read(&id, at, |_| {
                events += 1;
                number < 18 || events < 75
            });
            drop(requester);
            if answer.is_complete {
                return Ok(answer);
            }
            let closed_at = lab
                .record
                .add(format!("requester closes the connection of {id}"));
            closes.lock().unwrap().push((id, closed_at));
            Ok(answer)
        }));
        sleep_ms(80);
    }
    sleep_ms(500);
    site.engines[1].register(&site.store);
    others.iter().for_each(|other| other.register(&site.store));
    sleep_ms(1_000);
    site.engines[0].drain(&site.store);
    sleep_ms(14_000);
    let _ = readers;
    let closes = closes.lock().unwrap().clone();
    let arrivals = site.fleet.arrivals.lock().unwrap().clone();
    let (mut late, mut at_work, mut moved) = (0, 0, 0);
    for arrival in &arrivals {
        moved += usize::from(arrival.is_resume);
        let Some((_, closed_at)) = closes.iter().find(|(id, _)| *id == arrival.request) else {
            continue;
        };
        if arrival.at > closed_at + 500 {
            late += 1;
            lab.record.add(format!(
                "GONE: {} reached runner {} {} ms after its requester had closed the connection",
                arrival.request,
                arrival.runner,
                arrival.at - closed_at
            ));
        }
        if arrival.at <= *closed_at
            && arrival
                .ended_at
                .is_none_or(|ended_at| ended_at > closed_at + 500)
        {
            at_work += 1;
            lab.record.add(format!(
                "GONE: runner {} still had {} 500 ms after its requester had closed the connection",
                arrival.runner, arrival.request
            ));
        }
    }
    lab.record.add(format!(
        "{moved} resumes; {} requesters left before the end; {late} requests reached a runner over 500 ms after that, {at_work} were still at a runner 500 ms after it",
        closes.len()
    ));
    if moved == 0 {
        return Err("nothing was moved".to_owned());
    }
    Ok(late <= 5 && at_work * 4 <= closes.len())
}

/// CONFIG after a version that adds a tenant whose name has a space.
fn named(lab: &Lab) -> Verdict {
    const DROPPED: &str = "wsjnbanfqasnmgkcuyj8";
    const ADDED: &str = "q7hd0zk2m4vbx81tnwre";
    let pace = Pace {
        first_ms: 50,
        event_ms: 20,
        copy_ms: 20,
        plain_ms: 0,
    };
    let old_route = route("lohu930", 1_500, 180, 6_000);
    let first = format!("{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\",\"{DROPPED}\"]}}");
    let site = start_site(
        lab,
        &whole_config(1, &old_route, &first),
        [(pace, Resumes::Served); 2],
    )?;
    let name = if lab.trouble {
        "Depot Norte"
    } else {
        "depot-norte"
    };
    let new_route = route("pufi791", 1_500, 180, 6_000);
    let tenants = format!(
        "{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"]}},{{\"name\":\"{name}\",\"apiKeys\":[\"{ADDED}\"]}}"
    );
    let routes = format!("{old_route},{new_route}");
    site.store
        .put("op/config", &whole_config(4, &routes, &tenants));
    lab.record.add(format!(
        "the store acknowledges version 4: key {DROPPED} is dropped, route /pufi791/ and tenant {name:?} with key {ADDED} are added"
    ));
    // More than `configApplyMs`.
    sleep_ms(4_000);
    let ask = |gateway: &Gateway, path: &str, key: &str| -> Result<Answer, String> {
        let mut requester = Requester::connect(lab, gateway.front, HOST, key).map_err(text)?;
        let sent = Sent {
            method: "POST",
            path,
            tokens: Some((200, 4)),
            budget_ms: 6_000,
            body: "short",
        };
        let (id, at) = requester.send(&sent).map_err(text)?;
        Ok(requester.read(&id, at, |_| true))
    };
    let mut broken = 0;
    for gateway in &site.gateways {
        for (what, path, key, expected) in [
            ("the dropped key", "/lohu930/2f", DROPPED, 401),
            ("the added key", "/lohu930/2f", ADDED, 200),
            ("the added route", "/pufi791/2f", KEY, 200),
        ] {
            let answer = ask(gateway, path, key)?;
            if answer.status != expected {
                broken += 1;
                lab.record.add(format!(
                    "CONFIG: {} answers {} with {what} with {}, though version 4, acknowledged over 4 s before, says {expected}",
                    gateway.name, answer.request, answer.status
                ));
            }
        }
    }
    lab.record.add(format!(
        "6 requests, {broken} handled as only the older version allows"
    ));
    Ok(broken == 0)
}

/// UNASKED while a key is handed over to another tenant.
fn handed(lab: &Lab) -> Verdict {
    const HANDED: &str = "wsjnbanfqasnmgkcuyj8";
    let pace = Pace {
        first_ms: 100,
        event_ms: 100,
        copy_ms: 20,
        plain_ms: 0,
    };
    let route = route("lohu930", 3_000, 180, 39_000);
    let tenants = |first: &str, second: &str| {
        format!(
            "{{\"name\":\"huka270\",\"apiKeys\":[{first}]}},{{\"name\":\"tibo118\",\"apiKeys\":[{second}]}}"
        )
    };
    let (own, moved) = (format!("\"{KEY}\""), format!("\"{HANDED}\""));
    let before = tenants(&format!("{own},{moved}"), "");
    let after = tenants(&own, &moved);
    let site = start_site(
        lab,
        &slots_config(1, &route, &before, 2),
        [(pace, Resumes::Served); 2],
    )?;
    // Four long streams take all slots for 8 s.
    let mut threads = Vec::new();
    let ask = |key: &str, limit: u64| {
        let (lab, front, key) = (lab.clone(), site.gateways[0].front, key.to_owned());
        thread::spawn(move || -> Result<Answer, String> {
            let mut requester = Requester::connect(&lab, front, HOST, &key).map_err(text)?;
            let sent = Sent {
                method: "POST",
                path: "/lohu930/2f",
                tokens: Some((300, limit)),
                budget_ms: 39_000,
                body: "draft the round",
            };
            let (id, at) = requester.send(&sent).map_err(text)?;
            Ok(requester.read(&id, at, |_| true))
        })
    };
    for _ in 0..4 {
        threads.push(ask(KEY, 320));
        sleep_ms(100);
    }
    sleep_ms(500);
    let waiting: Vec<_> = (0..3).map(|_| ask(HANDED, 8)).collect();
    sleep_ms(500);
    let mut acknowledged_at = u64::MAX;
    if lab.trouble {
        site.store
            .put("op/config", &slots_config(4, &route, &after, 2));
        acknowledged_at = lab.record.add(format!(
            "the store acknowledges version 4: key {HANDED} is taken from tenant huka270 and given to tenant tibo118"
        ));
    }
    let mut answers = Vec::new();
    for one in waiting {
        answers.push(one.join().map_err(|_| "a requester failed")??);
    }
    let arrivals = site.fleet.arrivals.lock().unwrap().clone();
    let (mut broken, mut run) = (0, 0);
    for answer in &answers {
        let Some(arrival) = arrivals.iter().find(|one| one.request == answer.request) else {
            continue;
        };
        run += 1;
        // The holder is the one of every configuration that may be in force.
        let is_applied = arrival.at > acknowledged_at.saturating_add(2_000);
        if is_applied && arrival.tenant != "tibo118" {
            broken += 1;
            lab.record.add(format!(
                "UNASKED: {} ran as of tenant {} {} ms after the ack of the version by which its key is tenant tibo118's",
                answer.request, arrival.tenant, arrival.at - acknowledged_at
            ));
        }
    }
    lab.record.add(format!(
        "{run} requests with the key ran, {broken} as of a tenant that does not hold it"
    ));
    match run {
        0 => Err("none of the requests ran".to_owned()),
        _ => Ok(broken == 0),
    }
}

/// CONFIG: whether a route that was added later is served as the first one is, in steady state after two
/// runners crashed and came back.
fn crashed(lab: &Lab) -> Verdict {
    const APP: &str = "wuno96b";
    const ZONES: [&str; 4] = ["thapathali", "balaju", "patan", "bhaktapur"];
    let pace = Pace {
        first_ms: 0,
        event_ms: 0,
        copy_ms: 0,
        plain_ms: 900,
    };
    let plain = |prefix: &str| {
        format!(
            "{{\"name\":\"r-{prefix}\",\"host\":\"{HOST}\",\"prefix\":\"/{prefix}/\",\"routeType\":\"idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1500,\"priority\":2,\"service\":\"{APP}\",\"maxAttempts\":2,\"public\":false}}"
        )
    };
    let config = |version: u64, routes: &str| {
        format!(
            "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"{APP}\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"]}}]}}"
        )
    };
    let store = Store::start("127.0.0.1", &lab.ended).map_err(text)?;
    let (first, added) = (plain("puxa403"), plain("pule252"));
    store.put("op/config", &config(1, &first));
    let fleet = Fleet::default();
    let mut runners = Vec::new();
    for number in 0..8 {
        let (id, ip) = (
            format!("i-{number}b91c07"),
            format!("127.88.3.{}", number + 1),
        );
        let setup = EngineSetup {
            id: &id,
            ip: &ip,
            service: APP,
            zone: ZONES[number / 2],
            pace,
            resumes: Resumes::Served,
        };
        runners.push(Engine::start(lab, &fleet, setup).map_err(text)?);
    }
    runners.iter().for_each(|runner| runner.register(&store));
    let machines = [
        Machine {
            name: "edge-patan-1",
            ip: "127.88.2.1",
            zone: "patan",
        },
        Machine {
            name: "edge-balaju-1",
            ip: "127.88.2.2",
            zone: "balaju",
        },
    ];
    let gateways = start_gateways(&lab.folder, &store, &machines)?;
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    sleep_ms(4_000);
    store.put("op/config", &config(4, &format!("{first},{added}")));
    lab.record
        .add("the store acknowledges version 4, which adds the route /pule252/");
    sleep_ms(3_000);
    // When each request was sent, whether its route is the added one, and the status of its answer.
    let seen: Arc<Mutex<Vec<(u64, bool, u16)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..48 {
        let (lab, seen, is_over) = (lab.clone(), seen.clone(), is_over.clone());
        let front = gateways[number % 2].front;
        // A third asks for one thing each on the first route, the others for the one page of the other.
        let is_added = number % 3 != 0;
        threads.push(thread::spawn(move || {
            // Not all at once.
            sleep_ms(9 * number as u64);
            let mut kept = None;
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                count += 1;
                let path = match is_added {
                    true => "/pule252/board".to_owned(),
                    false => format!("/puxa403/yard-{number}-{count}"),
                };
                let connect = || Requester::connect(&lab, front, HOST, KEY).ok();
                let Some(mut requester) = kept.take().or_else(connect) else {
                    sleep_ms(100);
                    continue;
                };
                let sent = Sent {
                    method: "GET",
                    path: &path,
                    tokens: None,
                    budget_ms: 3_000,
                    body: "",
                };
                let Ok((id, at)) = requester.send(&sent) else {
                    continue;
                };
                let answer = requester.read(&id, at, |_| true);
                seen.lock().unwrap().push((at, is_added, answer.status));
                if answer.is_complete {
                    kept = Some(requester);
                }
                sleep_ms(if answer.status == 200 { 20 } else { 200 });
            }
        }));
    }
    sleep_ms(4_000);
    if lab.trouble {
        // All runners of one zone.
        Engine::crash(&runners[2..4]);
        sleep_ms(4_500);
        runners[2].start_again(&store).map_err(text)?;
        runners[3].start_again(&store).map_err(text)?;
    }
    // Steady state: nothing is disturbed for 12 s.
    sleep_ms(12_000);
    let from = lab.record.add("steady state is judged from here on");
    sleep_ms(10_000);
    is_over.store(true, Ordering::Relaxed);
    for one in threads {
        let _ = one.join();
    }
    let share = |added: bool| {
        let seen = seen.lock().unwrap();
        let asked = seen
            .iter()
            .filter(|(at, is_added, _)| *at >= from && *is_added == added);
        let statuses: Vec<u16> = asked.map(|(_, _, status)| *status).collect();
        let served = statuses.iter().filter(|status| **status == 200).count();
        (statuses.len(), served)
    };
    let ((first_asked, first_served), (asked, served)) = (share(false), share(true));
    lab.record.add(format!(
        "first route: {first_served} of {first_asked} served; added route: {served} of {asked} served"
    ));
    if first_asked == 0 || asked < 20 {
        return Err("too few requests".to_owned());
    }
    let is_broken = served as f64 / (asked as f64) < first_served as f64 / first_asked as f64 / 4.0;
    if is_broken {
        lab.record.add("CONFIG: requests on the route that was added later are served less than a quarter as often as those on the first one");
    }
    Ok(!is_broken)
}

/// BUDGET: requests to a runner that asked for none, after the store had missed its reports for a while.
fn quiet(lab: &Lab) -> Verdict {
    const APP: &str = "wuno96b";
    const QUIET_MS: u64 = 25_000;
    let pace = Pace {
        first_ms: 0,
        event_ms: 0,
        copy_ms: 0,
        plain_ms: 60,
    };
    let config = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-z3pfi6y\",\"host\":\"{HOST}\",\"prefix\":\"/pule252/\",\"routeType\":\"idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"{APP}\",\"maxAttempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"{APP}\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    );
    let store = Store::start("127.0.0.1", &lab.ended).map_err(text)?;
    store.put("op/config", &config);
    let fleet = Fleet::default();
    let mut runners = Vec::new();
    for number in 0..5 {
        let (id, ip) = (
            format!("i-{number}c33e80"),
            format!("127.88.4.{}", number + 1),
        );
        let setup = EngineSetup {
            id: &id,
            ip: &ip,
            service: APP,
            zone: "patan",
            pace,
            resumes: Resumes::Served,
        };
        runners.push(Engine::start(lab, &fleet, setup).map_err(text)?);
    }
    runners.iter().for_each(|runner| runner.register(&store));
    let machines = [
        Machine {
            name: "edge-patan-1",
            ip: "127.88.2.1",
            zone: "patan",
        },
        Machine {
            name: "edge-patan-2",
            ip: "127.88.2.2",
            zone: "patan",
        },
    ];
    let gateways = start_gateways(&lab.folder, &store, &machines)?;
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    sleep_ms(4_000);
    // Requests, each with the number of the machine that took it.
    let taken: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..60 {
        let (lab, taken, is_over) = (lab.clone(), taken.clone(), is_over.clone());
        let front = gateways[number % 2].front;
        threads.push(thread::spawn(move || {
            sleep_ms(7 * number as u64);
            let mut kept = None;
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                count += 1;
                let path = format!("/pule252/yard-{number}-{count}");
                let connect = || Requester::connect(&lab, front, HOST, KEY).ok();
                let Some(mut requester) = kept.take().or_else(connect) else {
                    sleep_ms(100);
                    continue;
                };
                let sent = Sent {
                    method: "GET",
                    path: &path,
                    tokens: None,
                    budget_ms: 1_000,
                    body: "",
                };
                let Ok((id, at)) = requester.send(&sent) else {
                    continue;
                };
                taken.lock().unwrap().push((id.clone(), number % 2));
                let answer = requester.read(&id, at, |_| true);
                if answer.is_complete {
                    kept = Some(requester);
                }
                sleep_ms(10);
            }
        }));
    }
    sleep_ms(2_000);
    runners[0].be_quiet(QUIET_MS);
    let ends_at = lab.record.now() + QUIET_MS;
    sleep_ms(3_000);
    if lab.trouble {
        lab.record.add(format!(
            "runner {} is partitioned from the store",
            runners[0].id
        ));
        // Three intervals of its reports.
        sleep_ms(3_600);
        store.remove(&format!("servers/{}", runners[0].id));
        lab.record
            .add("the store removes its entry after three intervals of silence");
        sleep_ms(1_400);
        runners[0].register(&store);
        lab.record
            .add("the partition has healed; the runner's entry is back");
    }
    sleep_ms(ends_at.saturating_sub(lab.record.now() + 200));
    is_over.store(true, Ordering::Relaxed);
    for one in threads {
        let _ = one.join();
    }
    let taken = taken.lock().unwrap().clone();
    let arrivals = fleet.arrivals.lock().unwrap().clone();
    let mut is_broken = false;
    for (machine, gateway) in gateways.iter().enumerate() {
        let of_machine = |id: &str| {
            taken
                .iter()
                .any(|(known, by)| known == id && *by == machine)
        };
        let turned: Vec<u64> = arrivals
            .iter()
            .filter(|one| of_machine(&one.request))
            .map(|one| one.at)
            .collect();
        let Some(first) = turned.first().copied() else {
            return Err(format!("{} never asked the runner", gateway.name));
        };
        let late = turned
            .iter()
            .filter(|at| **at > first + 500 + 20 && **at < ends_at)
            .count();
        lab.record.add(format!(
            "{}: first 503 with Retry-After at {first} ms; {late} requests reached the runner from 500 ms after it until the end of that time",
            gateway.name
        ));
        if late > 2 {
            is_broken = true;
            lab.record.add("BUDGET: these are more than two");
        }
    }
    Ok(!is_broken)
}
