use base::{GenerationId, RanState, TargetName};
use calls::{
    CallerRecord, ConsentStatus, KeyId, RequestFingerprint, RequestHash, SendNumber, SignedTicket,
};
use rand::Rng;

use super::config::{FaultKind, KeyScheme};
use super::message::{Address, CallKey, CallMessage, Event, Message, ReplyBody, ReplyPath};
use super::simulation::{NODES, Simulation, request_id, workspace};

/// Maximum number of times that one request is sent.
const SEND_LIMIT: u32 = 3;
/// Time after which a caller gives up an exchange.
const CALLER_TIMEOUT_MS: u64 = 10_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Answered,
    Refused,
    Unknown,
    Silent,
}

/// A request of a caller over all its sends.
pub struct Request {
    pub caller: u32,
    pub scheme: KeyScheme,
    pub idempotent: bool,
    pub streamed: bool,
    pub crashes_targets: bool,
    pub ticket: Option<SignedTicket>,
    pub ticket_tries: u32,
    pub sends: u32,
    /// Number of open exchanges.
    pub open: u32,
    pub outcome: RequestOutcome,
}

/// One HTTP exchange of a caller with a node.
pub struct Exchange {
    pub request: u32,
    pub send: SendNumber,
    pub node: usize,
    /// Nodes that the call passed through.
    pub nodes: Vec<usize>,
    pub for_ticket: bool,
    pub tokens: u64,
    pub generation: Option<(TargetName, GenerationId)>,
    pub resumes: u32,
}

impl Simulation {
    pub fn next_request(&mut self, caller: u32) {
        if self.report.requests >= self.config.requests {
            return;
        }
        let number = self.report.requests;
        self.report.requests += 1;
        let scheme = match self.config.scheme {
            KeyScheme::Mixed => [KeyScheme::Ticket, KeyScheme::Key, KeyScheme::Neither]
                [self.random.random_range(0..3)],
            scheme => scheme,
        };
        let request = Request {
            caller,
            scheme,
            idempotent: self.random.random_bool(0.5),
            streamed: self.random.random_bool(0.7),
            crashes_targets: std::mem::take(&mut self.next_request_crashes),
            ticket: None,
            ticket_tries: 0,
            sends: 0,
            open: 0,
            outcome: RequestOutcome::Silent,
        };
        self.requests.push(request);
        match scheme {
            KeyScheme::Ticket => self.ask_ticket(number),
            _ => self.send_request(number),
        }
        let resends = self.config.faults.contains(&FaultKind::CallerResends);
        let keyed = scheme == KeyScheme::Key;
        if resends && keyed && self.random.random_bool(0.3) {
            self.send_request(number);
        }
    }

    fn ask_ticket(&mut self, number: u32) {
        self.requests[number as usize].ticket_tries += 1;
        let (exchange, node) = self.open_exchange(number, SendNumber(0), true);
        let path = ReplyPath {
            exchange,
            hops: Vec::new(),
        };
        self.send(
            Address::Callers,
            Address::Node(node),
            Message::NewTicket(path),
        );
    }

    fn send_request(&mut self, number: u32) {
        let request = &mut self.requests[number as usize];
        let send = SendNumber(request.sends);
        request.sends += 1;
        let keyed = request.scheme != KeyScheme::Neither;
        let record = CallerRecord::Sent {
            request: request_id(number),
            send,
            at: self.now,
            idempotent: request.idempotent,
            keyed,
        };
        self.report.history.callers.push(record);
        let (exchange, node) = self.open_exchange(number, send, false);
        let call = self.call_message(number, send, exchange);
        self.send(
            Address::Callers,
            Address::Node(node),
            Message::Call(Box::new(call)),
        );
    }

    fn call_message(&self, number: u32, send: SendNumber, exchange: u64) -> CallMessage {
        let request = &self.requests[number as usize];
        let text = number.to_string();
        CallMessage {
            path: ReplyPath {
                exchange,
                hops: Vec::new(),
            },
            request: number,
            send,
            idempotent: request.idempotent,
            streamed: request.streamed,
            crashes_targets: request.crashes_targets,
            key: match (request.scheme, &request.ticket) {
                (KeyScheme::Ticket, Some(ticket)) => CallKey::Ticket(ticket.clone()),
                (KeyScheme::Key, _) => CallKey::Key(KeyId::new(&workspace(), &text)),
                _ => CallKey::Neither,
            },
            body: RequestHash::new("POST", "/v1/completions", text.as_bytes()),
            fingerprint: RequestFingerprint::new("quill", text.as_bytes()),
            resume: None,
            addressee: None,
            arrival: ConsentStatus::NotAsked,
        }
    }

    fn open_exchange(&mut self, number: u32, send: SendNumber, for_ticket: bool) -> (u64, usize) {
        self.exchange_count += 1;
        let id = self.exchange_count;
        let mut node = self.random.random_range(0..NODES);
        // Connecting to a dead node fails at once, and the load balancer skips stopping nodes.
        for _ in 0..NODES {
            if self.nodes[node].alive && !self.nodes[node].stopping {
                break;
            }
            node = (node + 1) % NODES;
        }
        let exchange = Exchange {
            request: number,
            send,
            node,
            nodes: vec![node],
            for_ticket,
            tokens: 0,
            generation: None,
            resumes: 0,
        };
        self.exchanges.insert(id, exchange);
        self.requests[number as usize].open += 1;
        self.schedule_after(CALLER_TIMEOUT_MS, Event::ExchangeTimeout(id));
        (id, node)
    }

    pub fn caller_reply(&mut self, id: u64, body: ReplyBody) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        let (number, send) = (exchange.request, exchange.send);
        let request = request_id(number);
        match body {
            ReplyBody::Token(target, generation, offset) => {
                exchange.tokens += 1;
                exchange.generation = Some((target, generation.clone()));
                self.report.history.callers.push(CallerRecord::Token {
                    request,
                    send,
                    generation,
                    offset,
                });
            }
            ReplyBody::End(count) => {
                self.report.history.callers.push(CallerRecord::Ended {
                    request,
                    send,
                    count,
                });
                self.requests[number as usize].outcome = RequestOutcome::Answered;
                self.close_exchange(id);
            }
            ReplyBody::Fail(ran) => {
                let at = self.now;
                self.report.history.callers.push(CallerRecord::Failed {
                    request,
                    send,
                    at,
                    ran,
                });
                self.on_failure(id, ran);
            }
            ReplyBody::Lost => self.on_lost(id),
            ReplyBody::Ticket(ticket) => {
                let state = &mut self.requests[number as usize];
                let again = ticket.is_none() && state.ticket_tries < 10;
                let issued = ticket.is_some();
                state.ticket = ticket;
                if issued {
                    self.send_request(number);
                    let resends = self.config.faults.contains(&FaultKind::CallerResends);
                    if resends && self.random.random_bool(0.3) {
                        self.send_request(number);
                    }
                } else if again {
                    self.ask_ticket(number);
                }
                self.close_exchange(id);
            }
        }
    }

    fn on_failure(&mut self, id: u64, ran: RanState) {
        let number = self.exchanges[&id].request;
        let request = &mut self.requests[number as usize];
        if request.outcome != RequestOutcome::Answered {
            request.outcome = match ran {
                RanState::No => RequestOutcome::Refused,
                _ => RequestOutcome::Unknown,
            };
        }
        let may_resend =
            ran == RanState::No || request.idempotent || request.scheme != KeyScheme::Neither;
        if may_resend {
            self.resend(number);
        }
        self.close_exchange(id);
    }

    /// Handles a connection to a node that broke before the end of the answer.
    fn on_lost(&mut self, id: u64) {
        let exchange = &self.exchanges[&id];
        let number = exchange.request;
        if exchange.for_ticket {
            if self.requests[number as usize].ticket_tries < 10 {
                self.ask_ticket(number);
            }
            self.close_exchange(id);
            return;
        }
        if let Some((target, generation)) = exchange.generation.clone() {
            let (send, tokens, resumes) = (exchange.send, exchange.tokens, exchange.resumes);
            let streamed = self.requests[number as usize].streamed;
            if !streamed {
                self.resend_if_allowed(number);
            } else if resumes < 3 {
                let (next, node) = self.open_exchange(number, send, false);
                let mut call = self.call_message(number, send, next);
                call.resume = Some((target.clone(), generation.clone(), tokens));
                let exchange = self.exchanges.get_mut(&next).unwrap();
                exchange.tokens = tokens;
                exchange.generation = Some((target, generation));
                exchange.resumes = resumes + 1;
                self.report.resumed += 1;
                self.send(
                    Address::Callers,
                    Address::Node(node),
                    Message::Call(Box::new(call)),
                );
            }
        } else {
            self.resend_if_allowed(number);
        }
        self.close_exchange(id);
    }

    fn resend_if_allowed(&mut self, number: u32) {
        let request = &self.requests[number as usize];
        if request.idempotent || request.scheme != KeyScheme::Neither {
            self.resend(number);
        }
    }

    pub fn exchange_timeout(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let node = exchange.node;
        self.send(
            Address::Callers,
            Address::Node(node),
            Message::CallerGone(id),
        );
        self.on_lost(id);
    }

    fn resend(&mut self, number: u32) {
        let request = &self.requests[number as usize];
        if request.outcome != RequestOutcome::Answered && request.sends < SEND_LIMIT {
            self.send_request(number);
        }
    }

    fn close_exchange(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        let request = &mut self.requests[exchange.request as usize];
        request.open -= 1;
        if request.open > 0 {
            return;
        }
        match request.outcome {
            RequestOutcome::Answered => self.report.answered += 1,
            RequestOutcome::Refused => self.report.refused += 1,
            RequestOutcome::Unknown => self.report.unknown += 1,
            RequestOutcome::Silent => self.report.silent += 1,
        }
        let caller = request.caller;
        let pause = self.random.random_range(1..=self.config.think_ms);
        self.schedule_after(pause, Event::NextRequest(caller));
    }
}
