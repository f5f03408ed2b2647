use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Part of the system that an event belongs to, given by the thousands digit of its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EventScope {
    /// 1000: the process itself.
    Process,
    /// 2000: requests of callers.
    Request,
    /// 3000: engines and services.
    Target,
    /// 4000: membership and peers.
    Member,
    /// 5000: declarations and orders.
    Fleet,
}

/// Defines `EventKind` from a list of names, numbers and meanings.
macro_rules! event_kinds {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// Kind of a logged event; the meaning of a number never changes.
        ///
        /// ```
        /// use base::EventKind;
        /// assert_eq!(EventKind::NodeStarted.number(), 1001);
        /// assert_eq!(EventKind::NodeStarted.to_string(), "node_started");
        /// ```
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString,
            IntoStaticStr, Serialize, Deserialize,
        )]
        #[strum(serialize_all = "snake_case")]
        #[serde(rename_all = "snake_case")]
        pub enum EventKind {
            $($(#[$doc])* #[doc = $text] $name,)*
        }

        impl EventKind {
            /// Number of the event in the catalogue.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Meaning of the event, as the catalogue states it.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

event_kinds! {
    NodeStarted = 1001, "The node listens on all its addresses.";
    NodeStopping = 1002, "The node received a stop signal and accepts no new requests.";
    NodeStopped = 1003, "The node finished its last request and exits.";
    NodeResumed = 1004, "The node noticed that it had been paused and reads its view again.";
    ListenerFailed = 1005, "A listener could not accept a connection.";
    ConnectionEnded = 1006, "A connection ended with an error.";
    StandInStarted = 1007, "A stand-in listens on its address.";
    LoadProgress = 1008, "The load tool reports its progress.";
    ProcessMessage = 1010, "A message of the program that has no event number of its own.";
    NodeReady = 1009, "The node has compared its declaration with others and serves callers.";
    SettingsReloaded = 1011, "The settings were read again.";
    LogLinesDropped = 1012, "Log lines were dropped because the reader of the log was too slow.";
    StartWaiting = 1013, "A start, or the metrics listener, waits for something that may become available.";
    StartFailed = 1014, "The process ends because it could not start; the line says why.";
    TaskPanicked = 1015, "A task panicked; the line names it. A background task is started again.";
    ExitForced = 1016, "The process ends, as its grace period is over, although it has not finished its stop.";
    RequestAccepted = 2001, "A request passed authentication and was read.";
    RequestRefused = 2002, "A request was answered with an error before it was sent to a target.";
    AttemptSent = 2003, "An attempt was sent and may have reached its target.";
    AttemptFailed = 2004, "An attempt ended without a complete response.";
    GenerationStarted = 2005, "The first token of a generation arrived.";
    StreamResumed = 2006, "A generation was resumed on a new connection.";
    RequestFinished = 2007, "The complete response was sent to the caller.";
    RequestFailed = 2008, "A request ended with an error after it was sent to a target.";
    CallerGone = 2009, "The caller closed its connection before the response was complete.";
    TicketIssued = 2010, "A ticket was issued.";
    AnswerReplayed = 2011, "A repeated request got the stored response of the first one.";
    CallForwarded = 2012, "A call was forwarded to the only node that may run it.";
    MoveStarted = 2013, "The KV cache of a running generation is being copied to another engine.";
    MoveFinished = 2014, "A generation continues on another engine.";
    MoveFailed = 2015, "A generation could not be moved.";
    TargetUp = 3001, "A target responds to probes, for the first time or again.";
    TargetDown = 3002, "A target stopped responding.";
    TargetLeaving = 3003, "A target started to leave and gets no new requests.";
    LinkSilent = 3004, "A connection to a target stopped responding and is no longer used.";
    CrashMarked = 3005, "A target died; the requests that it ran were marked as possible causes.";
    CrashCondemned = 3006, "A request is refused because it crashed the targets that ran it.";
    BreakerOpened = 3007, "The circuit breaker of a target opened.";
    BreakerClosed = 3008, "The circuit breaker of a target closed.";
    TargetUnreadable = 3009, "The entry of a target could not be decoded and is ignored.";
    TargetsRead = 3010, "The list of targets changed and was read.";
    TargetQuiet = 3011, "A target refused a call and asked for a back-off period.";
    TargetRateNamed = 3012, "A target named, changed or withdrew the rate of calls that it accepts.";
    RateShared = 3013, "This node began to share the rate of calls that a target names among all nodes.";
    TrialGranted = 3014, "One call with a request or prompt part that is suspected of crashing targets may run.";
    CallRecalled = 3015, "A call was recalled from its target, as the same request or a part of its prompt crashed others.";
    EvacuationBegun = 3016, "A failure domain is evacuated; its targets get nothing more.";
    EvacuationFinished = 3017, "No generation of this node is left on the engines of an evacuated failure domain.";
    EvacuationWithdrawn = 3018, "The evacuation of a failure domain was taken back.";
    EnginePaceChanged = 3030, "Long calls avoid an engine, as they would be late there, or avoid it no longer.";
    PathLost = 3031, "Connections to all tried targets of a service fail; calls for it are forwarded to peers.";
    PathReturned = 3032, "A target of a service to which the path was lost accepts connections again.";
    RefusalLimitChanged = 3033, "A target states another number of calls that it may refuse before it fails, or none any more.";
    PeerAlive = 4001, "A peer is alive.";
    PeerSuspect = 4002, "A peer did not respond to probes and may have failed.";
    PeerDead = 4003, "A peer was declared dead.";
    PeerLeaving = 4004, "A peer is stopping.";
    PeerRefused = 4005, "A message without a valid key, or one that can't be decoded, was refused.";
    PeerUnreached = 4008, "A message to a peer was not delivered.";
    PeerRestored = 4009, "The direct link to a peer works again.";
    PeerLinkBroken = 4010, "The direct link to a peer does not respond, while other nodes reach it.";
    DomainLost = 4011, "Another failure domain can't be reached.";
    DomainFound = 4012, "Another failure domain can be reached again.";
    NodeSuperseded = 4013, "A later process with this node's name runs; this process stops.";
    ViewChanged = 4014, "The reliability state of the membership view changed.";
    WindowHandedOver = 4006, "A ticket window was handed over to a successor.";
    WindowTakenOver = 4007, "A ticket window was taken over from a stopping node.";
    DeskChosen = 4016, "The node that places the generations of the failure domain changed.";
    FactTold = 4017, "A peer sent a shared fact that was new to this node.";
    WindowRefused = 4015, "A ticket window of a stopping node was not taken over.";
    PlatformLost = 5001, "The configuration service does not respond.";
    PlatformFound = 5002, "The configuration service responds again.";
    RevisionAccepted = 5003, "A declaration was accepted and is in force.";
    RevisionRejected = 5004, "A declaration was rejected; the last accepted one stays in force.";
    RevisionIgnored = 5005, "An older revision was offered and ignored.";
    OrderSent = 5006, "An order was sent to a target.";
    OrderDone = 5007, "A target carried out an order.";
    OrderFailed = 5008, "A target refused an order or failed to carry it out.";
    RolloutHalted = 5009, "A rollout was halted automatically after failures of the new version.";
    FleetConverged = 5010, "Every target is in its declared state.";
    WatchAbandoned = 5011, "A held request for changes was given up, as the store may hold a change that it did not report.";
    StoreOutage = 5012, "The store had answered no node for a while; entries that expired in that time may come back.";
    StoreEraChanged = 5013, "The store came back from an older copy; newer content that is known is kept for a while.";
    StoreEraUnreadable = 5014, "The store tells an era that is no number; it is taken for the latest one.";
    EntryOmitted = 5015, "An entry of a declaration can't be used and is left out; the rest is in force.";
    ConfigBehind = 5016, "Peers have had a newer configuration in force for over a second than this node.";
}

impl EventKind {
    /// Part of the system that the event belongs to.
    pub const fn scope(self) -> EventScope {
        match self.number() / 1_000 {
            1 => EventScope::Process,
            2 => EventScope::Request,
            3 => EventScope::Target,
            4 => EventScope::Member,
            _ => EventScope::Fleet,
        }
    }
}
