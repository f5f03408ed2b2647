use base::{GenerationId, RanState, TargetName};
use calls::{
    CallerRecord, ConsentStatus, CrashPrint, KeyId, RequestHash, SendNumber, SignedTicket,
};
use rand::Rng;

use super::config::{Fault, Scheme};
use super::message::{Addr, CallKey, CallMsg, Event, Msg, ReplyBody, ReplyPath};
use super::world::{NODES, World, request_id, workspace};

/// Sends of one request at most.
const SEND_LIMIT: u32 = 3;
const PATIENCE_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Refused,
    Unknown,
    Silent,
}

pub struct Request {
    pub caller: u32,
    pub scheme: Scheme,
    pub idempotent: bool,
    pub streamed: bool,
    pub poison: bool,
    pub ticket: Option<SignedTicket>,
    pub ticket_tries: u32,
    pub sends: u32,
    pub open: u32,
    pub outcome: Outcome,
}

/// One HTTP exchange of a caller with a node.
pub struct Exchange {
    pub request: u32,
    pub send: SendNumber,
    pub node: usize,
    /// Nodes that the call went through.
    pub nodes: Vec<usize>,
    pub for_ticket: bool,
    pub tokens: u64,
    pub generation: Option<(TargetName, GenerationId)>,
    pub resumes: u32,
}

impl World {
    pub fn next_request(&mut self, caller: u32) {
        if self.report.requests >= self.config.requests {
            return;
        }
        let number = self.report.requests;
        self.report.requests += 1;
        let scheme = match self.config.scheme {
            Scheme::Mixed => {
                [Scheme::Ticket, Scheme::Key, Scheme::Neither][self.random.random_range(0..3)]
            }
            scheme => scheme,
        };
        let request = Request {
            caller,
            scheme,
            idempotent: self.random.random_bool(0.5),
            streamed: self.random.random_bool(0.7),
            poison: std::mem::take(&mut self.poison_next),
            ticket: None,
            ticket_tries: 0,
            sends: 0,
            open: 0,
            outcome: Outcome::Silent,
        };
        self.requests.push(request);
        match scheme {
            Scheme::Ticket => self.ask_ticket(number),
            _ => self.send_request(number),
        }
        let resends = self.config.faults.contains(&Fault::CallerResends);
        let keyed = scheme == Scheme::Key;
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
        self.send(Addr::Callers, Addr::Node(node), Msg::NewTicket(path));
    }

    fn send_request(&mut self, number: u32) {
        let request = &mut self.requests[number as usize];
        let send = SendNumber(request.sends);
        request.sends += 1;
        let keyed = request.scheme != Scheme::Neither;
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
        self.send(Addr::Callers, Addr::Node(node), Msg::Call(Box::new(call)));
    }

    fn call_message(&self, number: u32, send: SendNumber, exchange: u64) -> CallMsg {
        let request = &self.requests[number as usize];
        let text = number.to_string();
        CallMsg {
            path: ReplyPath {
                exchange,
                hops: Vec::new(),
            },
            request: number,
            send,
            idempotent: request.idempotent,
            streamed: request.streamed,
            poison: request.poison,
            key: match (request.scheme, &request.ticket) {
                (Scheme::Ticket, Some(ticket)) => CallKey::Ticket(ticket.clone()),
                (Scheme::Key, _) => CallKey::Key(KeyId::new(&workspace(), &text)),
                _ => CallKey::Neither,
            },
            body: RequestHash::new("POST", "/v1/completions", text.as_bytes()),
            print: CrashPrint::new("quill", text.as_bytes()),
            resume: None,
            addressee: None,
            arrival: ConsentStatus::NotAsked,
        }
    }

    fn open_exchange(&mut self, number: u32, send: SendNumber, for_ticket: bool) -> (u64, usize) {
        self.exchange_count += 1;
        let id = self.exchange_count;
        let mut node = self.random.random_range(0..NODES);
        // A connection attempt to a dead node fails at once, and the balancer skips a stopping one.
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
        self.after(PATIENCE_MS, Event::ExchangeTimeout(id));
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
                self.requests[number as usize].outcome = Outcome::Answered;
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
                self.on_told(id, ran);
            }
            ReplyBody::Lost => self.on_lost(id),
            ReplyBody::Ticket(ticket) => {
                let state = &mut self.requests[number as usize];
                let again = ticket.is_none() && state.ticket_tries < 10;
                let issued = ticket.is_some();
                state.ticket = ticket;
                if issued {
                    self.send_request(number);
                    let resends = self.config.faults.contains(&Fault::CallerResends);
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

    fn on_told(&mut self, id: u64, ran: RanState) {
        let number = self.exchanges[&id].request;
        let request = &mut self.requests[number as usize];
        if request.outcome != Outcome::Answered {
            request.outcome = match ran {
                RanState::No => Outcome::Refused,
                _ => Outcome::Unknown,
            };
        }
        let safe = ran == RanState::No || request.idempotent || request.scheme != Scheme::Neither;
        if safe {
            self.resend(number);
        }
        self.close_exchange(id);
    }

    /// The connection to the node broke before the end.
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
                self.resend_if_safe(number);
            } else if resumes < 3 {
                let (next, node) = self.open_exchange(number, send, false);
                let mut call = self.call_message(number, send, next);
                call.resume = Some((target.clone(), generation.clone(), tokens));
                let exchange = self.exchanges.get_mut(&next).unwrap();
                exchange.tokens = tokens;
                exchange.generation = Some((target, generation));
                exchange.resumes = resumes + 1;
                self.report.resumed += 1;
                self.send(Addr::Callers, Addr::Node(node), Msg::Call(Box::new(call)));
            }
        } else {
            self.resend_if_safe(number);
        }
        self.close_exchange(id);
    }

    fn resend_if_safe(&mut self, number: u32) {
        let request = &self.requests[number as usize];
        if request.idempotent || request.scheme != Scheme::Neither {
            self.resend(number);
        }
    }

    pub fn exchange_timeout(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let node = exchange.node;
        self.send(Addr::Callers, Addr::Node(node), Msg::CallerGone(id));
        self.on_lost(id);
    }

    fn resend(&mut self, number: u32) {
        let request = &self.requests[number as usize];
        if request.outcome != Outcome::Answered && request.sends < SEND_LIMIT {
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
            Outcome::Answered => self.report.answered += 1,
            Outcome::Refused => self.report.refused += 1,
            Outcome::Unknown => self.report.unknown += 1,
            Outcome::Silent => self.report.silent += 1,
        }
        let caller = request.caller;
        let pause = self.random.random_range(1..=self.config.think_ms);
        self.after(pause, Event::NextRequest(caller));
    }
}
