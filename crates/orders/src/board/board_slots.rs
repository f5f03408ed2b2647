use base::{ClockTime, NodeName, TargetName};

use super::{BoardAction, MessageBody, OrderBoard};
use crate::{FencingNumber, SlotAsk, SlotWant, TargetActual, loader_of};

/// Leave for loads and unloads, as asker and as loader.
impl OrderBoard {
    pub(super) fn set_loader(&mut self, now: ClockTime) {
        let Some(plan) = &self.plan else {
            return;
        };
        let loader = loader_of(plan, &self.view.live, &self.settings.guards);
        let mine = loader.as_ref() == Some(&self.settings.node);
        self.ledger.set_active(mine.then_some(now));
        if self.holder.loader() != loader.as_ref() {
            let used = self.used_slots();
            let in_use = |target: &TargetName| used.contains(target);
            self.holder.set_loader(loader, in_use);
        }
    }

    pub(super) fn drop_unused(&mut self) {
        let used = self.used_slots();
        self.holder.drop_unused(|target| used.contains(target));
    }

    /// Targets that load or are being told to.
    pub(super) fn used_slots(&self) -> Vec<TargetName> {
        let pairs = self.loops.iter().zip(&self.actuals);
        let used = pairs.filter(|(state, actual)| {
            let loading = actual.as_ref().is_some_and(TargetActual::is_loading);
            let ordered = state.sent().is_some_and(|order| order.action.is_load());
            state.is_owned() && (loading || ordered)
        });
        used.map(|(state, _)| state.target().clone()).collect()
    }

    pub(super) fn ask_loader(&mut self, now: ClockTime, wants: Vec<SlotWant>) {
        let Some(ask) = self.holder.next_ask(now, wants, &self.settings.timing) else {
            return;
        };
        let Some(loader) = self.holder.loader().cloned() else {
            return;
        };
        if loader == self.settings.node {
            let number = self.number();
            self.take_ask(now, &loader, number, ask);
        } else {
            self.send(loader, MessageBody::Ask(ask));
        }
    }

    pub(super) fn take_ask(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        number: FencingNumber,
        ask: SlotAsk,
    ) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        let mut ledger = std::mem::take(&mut self.ledger);
        let view = self.domain_view(now, &plan);
        ledger.on_ask(&view, from, number.incarnation, ask);
        self.ledger = ledger;
        self.plan = Some(plan);
    }

    pub(super) fn answer_asks(&mut self, now: ClockTime) {
        if !self.ledger.is_active() {
            return;
        }
        let Some(plan) = self.plan.take() else {
            return;
        };
        let mut ledger = std::mem::take(&mut self.ledger);
        let has_asks = ledger.has_asks();
        for at in ledger.take_unsettled(now) {
            let probe = BoardAction::Probe(plan.targets[at].name.clone());
            self.actions.push(probe);
        }
        let view = self.domain_view(now, &plan);
        let answers = ledger.answer(&view, &self.view.live, &self.settings.guards);
        self.ledger = ledger;
        if has_asks {
            self.probe_domain(now);
        }
        self.plan = Some(plan);
        for (to, answer) in answers {
            if to == self.settings.node {
                self.holder.on_answer(now, &to, answer);
            } else {
                self.send(to, MessageBody::Answer(answer));
            }
        }
    }

    /// A loader with work needs a fresh view of all targets of its domain.
    pub(super) fn probe_domain(&mut self, now: ClockTime) {
        let timing = &self.settings.timing;
        for (state, actual) in self.loops.iter_mut().zip(&self.actuals) {
            let fresh = |actual: &TargetActual| now - actual.observed_at <= timing.reread_age;
            if actual.as_ref().is_some_and(fresh) || !state.take_probe(now, timing) {
                continue;
            }
            let probe = BoardAction::Probe(state.target().clone());
            self.actions.push(probe);
        }
    }
}
