use base::{ClockTime, NodeName, TargetName, TimeSpan};
use member::TargetState;
use sched::LoadReport;

use super::fleet_actor::FleetActor;
use crate::{HealthNote, LoadNote, PeerBody, TargetNote, TargetPhase};

/// Least time between two load notes to the peers of the domain.
const NOTE_PERIOD: TimeSpan = TimeSpan::new(500);
/// Added to the period for each peer, so that control traffic does not grow with their number.
const NOTE_PER_PEER: TimeSpan = TimeSpan::new(160);
/// Notes after which the health of every target is repeated.
const HEALTH_REPEAT: u64 = 10;

impl FleetActor {
    pub(super) fn queue_report(
        &mut self,
        target: &TargetName,
        report: &LoadReport,
        started: ClockTime,
    ) {
        let note = TargetNote {
            target: target.clone(),
            // Filled in when the note is sent.
            age_ms: u32::try_from(started.as_millis()).unwrap_or(u32::MAX),
            figures: [
                report.running,
                report.waiting,
                report.used_pages,
                report.cached_pages,
                report.total_pages,
                report.page_tokens,
            ],
            preemptions: report.preemptions,
            health: None,
        };
        self.fresh_reports.retain(|old| old.target != *target);
        self.fresh_reports.push(note);
    }

    /// Sends what this node read of its targets to the peers of the domain.
    pub(super) fn send_note(&mut self) {
        let now = self.now();
        if now < self.next_note {
            return;
        }
        let own = &self.parts.identity;
        let live = self.member.live_nodes(&own.domain);
        let peers: Vec<NodeName> = live.into_iter().filter(|name| *name != own.node).collect();
        let spread = NOTE_PER_PEER * peers.len() as u64;
        self.next_note = now + NOTE_PERIOD.max(spread);
        self.notes += 1;
        let note = self.make_note(now);
        for peer in peers {
            self.learn_address(&peer);
            self.parts.peers.tell(peer, PeerBody::Load(note.clone()));
        }
    }

    pub(super) fn make_note(&mut self, now: ClockTime) -> LoadNote {
        let repeat = self.notes.is_multiple_of(HEALTH_REPEAT);
        let view = self.parts.view.get();
        let changed = std::mem::take(&mut self.changed_health);
        let mut targets = std::mem::take(&mut self.fresh_reports);
        for note in &mut targets {
            let measured = ClockTime::new(u64::from(note.age_ms));
            note.age_ms = u32::try_from((now - measured).as_millis()).unwrap_or(u32::MAX);
            if !repeat && !changed.contains(&note.target) {
                continue;
            }
            note.health = view.target(&note.target).map(|entry| HealthNote {
                phase: entry.phase,
                health: entry.health.clone(),
            });
        }
        LoadNote {
            sequence: self.notes,
            in_flight: Vec::new(),
            targets,
            revision: Some(self.revision.digest(now)),
        }
    }

    pub(super) fn take_note(&mut self, from: &NodeName, note: LoadNote) {
        let now = self.now();
        if let Some(digest) = &note.revision {
            let actions = self.revision.on_digest(now, from, digest);
            self.carry_out_revision(actions);
        }
        for target in note.targets {
            let age = u64::from(target.age_ms);
            let measured_at = ClockTime::new(now.as_millis().saturating_sub(age));
            self.take_target_note(target, measured_at);
        }
    }

    pub(super) fn take_target_note(&mut self, note: TargetNote, measured_at: ClockTime) {
        let [
            running,
            waiting,
            used_pages,
            cached_pages,
            total_pages,
            page_tokens,
        ] = note.figures;
        let report = LoadReport {
            target: note.target.clone(),
            measured_at,
            running,
            waiting,
            used_pages,
            cached_pages,
            total_pages,
            page_tokens,
            preemptions: note.preemptions,
        };
        self.parts.sched.take_report(report);
        let Some(HealthNote { health, phase }) = note.health else {
            return;
        };
        let known = self.parts.view.get();
        let known = known.target(&note.target);
        let newer = known.is_some_and(|entry| measured_at >= entry.observed_at);
        let unknown = known.is_some_and(|entry| entry.phase == TargetPhase::Unknown);
        let incarnation = health.as_ref().map(|health| health.incarnation);
        if let Some(health) = health.filter(|_| newer) {
            self.take_health(&note.target, &health);
            // A note that waited while this process was paused looks newer than it is, so that
            // orders rest on the probes of their own node alone.
            if !self.board.owns(&note.target) {
                self.observe_actual(&note.target, &health, measured_at);
            }
        }
        if unknown && phase == TargetPhase::Up {
            self.observe(note.target, incarnation, TargetState::Alive);
        }
    }
}
