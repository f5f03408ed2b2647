//! Requests that the platform holds until there is a change.

use base::{ClockTime, TimeSpan};
use fleet::{PlatformHeadAnswer, RevisionAction, RevisionSettings, RevisionSync};

/// Interval of the ticks that a node passes on.
const TICK: TimeSpan = TimeSpan::new(100);

// Guards against a reader that reports the platform as lost in an undisturbed fleet, because a
// request is held for longer than the time after which it counts as failed.
#[test]
fn a_held_request_does_not_count_as_failed() {
    let settings = RevisionSettings::default().with_watch_wait(TimeSpan::from_secs(30));
    let (node, domain) = ("n1".parse().unwrap(), "patan".parse().unwrap());
    let mut sync = RevisionSync::new(node, domain, settings, 7);
    let mut actions = sync.on_reader_role(ClockTime::ZERO, true);
    let mut held = None;
    let mut held_requests = 0;
    let mut now = ClockTime::ZERO;
    while now < ClockTime::ZERO + TimeSpan::from_secs(200) {
        now += TICK;
        if let Some((call, _)) = held.filter(|(_, until)| *until <= now) {
            held = None;
            let answer = PlatformHeadAnswer {
                index: 5,
                head: None,
            };
            actions.extend(sync.on_head_answer(now, call, &answer));
        }
        actions.extend(sync.on_tick(now));
        for action in std::mem::take(&mut actions) {
            match action {
                RevisionAction::ReadHead { call, index, wait } => {
                    held_requests += u32::from(index > 0);
                    held = Some((call, now + wait));
                }
                RevisionAction::PlatformLost => panic!("lost at {now}"),
                _ => {}
            }
        }
    }
    assert!((5..10).contains(&held_requests), "{held_requests}");
}
