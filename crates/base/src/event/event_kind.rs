use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Part of the system that an event belongs to; its numbers start at the given base.
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

macro_rules! event_kinds {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// Every event that the system logs; the number never changes its meaning.
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
            /// Number in the catalogue.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// What the event means, as the catalogue says it.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

event_kinds! {
    NodeStarted = 1001, "The node listens on all its addresses.";
    NodeStopping = 1002, "The node got a stop signal and takes no new work.";
    NodeStopped = 1003, "The node ended its last request and exits.";
    NodeResumed = 1004, "The node found that it had been paused and re-reads its view.";
    ListenerFailed = 1005, "A listener could not accept a connection.";
    ConnectionEnded = 1006, "A connection ended with an error.";
    StandInStarted = 1007, "A stand-in listens on its address.";
    LoadProgress = 1008, "The load tool reports its progress.";
    ProcessMessage = 1010, "A message of the program that belongs to no other event.";
    NodeReady = 1009, "The node has compared its declaration and serves callers.";
    SettingsReloaded = 1011, "The settings were read again.";
    LogLinesDropped = 1012, "Log lines were dropped since the reader of the log was too slow.";
    RequestAccepted = 2001, "A request passed authentication and was read.";
    RequestRefused = 2002, "A request was answered with an error before it was sent to a target.";
    AttemptSent = 2003, "An attempt may have reached its target.";
    AttemptFailed = 2004, "An attempt ended without a whole answer.";
    GenerationStarted = 2005, "The first token of a generation arrived.";
    StreamResumed = 2006, "A generation was resumed on a new connection.";
    RequestFinished = 2007, "The whole answer was sent to the caller.";
    RequestFailed = 2008, "A request ended with an error after it was sent to a target.";
    CallerGone = 2009, "The caller closed its connection before the end.";
    TicketIssued = 2010, "A ticket was issued.";
    AnswerReplayed = 2011, "A resend got the answer of the first attempt.";
    CallForwarded = 2012, "A call was passed to the node that alone may run it.";
    MoveStarted = 2013, "The memory of a running generation is being copied to another engine.";
    MoveFinished = 2014, "A generation goes on at another engine.";
    MoveFailed = 2015, "A generation could not be moved.";
    TargetUp = 3001, "A target answered a probe for the first time or again.";
    TargetDown = 3002, "A target stopped answering.";
    TargetLeaving = 3003, "A target started to leave and gets no new work.";
    LinkSilent = 3004, "A connection to a target went silent and is not used any more.";
    CrashMarked = 3005, "A target died; the requests on it were marked.";
    CrashCondemned = 3006, "A request is refused since it crashed its targets.";
    BreakerOpened = 3007, "The circuit breaker of a target opened.";
    BreakerClosed = 3008, "The circuit breaker of a target closed.";
    TargetUnreadable = 3009, "The entry of a target could not be read and is passed over.";
    TargetsRead = 3010, "The list of targets changed and was read.";
    TargetQuiet = 3011, "A target turned a call away and wants nothing for a while.";
    PeerAlive = 4001, "A peer is alive.";
    PeerSuspect = 4002, "A peer missed its probes.";
    PeerDead = 4003, "A peer was declared dead.";
    PeerLeaving = 4004, "A peer is stopping.";
    PeerRefused = 4005, "A peer message without a valid key was refused.";
    PeerUnreached = 4008, "A message to a peer was not delivered.";
    PeerRestored = 4009, "The direct link to a peer works again.";
    PeerLinkBroken = 4010, "The direct link to a peer is silent while others reach it.";
    DomainLost = 4011, "Another failure domain can't be reached.";
    DomainFound = 4012, "Another failure domain can be reached again.";
    NodeSuperseded = 4013, "A later run of this node's name exists; this run stops.";
    ViewChanged = 4014, "The reliance on the membership view changed.";
    WindowHandedOver = 4006, "A ticket window was handed to a successor.";
    WindowTakenOver = 4007, "A ticket window was taken over from a stopping node.";
    DeskChosen = 4016, "Another node places the generations of the failure domain.";
    FactTold = 4017, "A peer told a fact that nodes agree on.";
    WindowRefused = 4015, "A ticket window of a stopping node was not taken over.";
    PlatformLost = 5001, "The configuration service does not answer.";
    PlatformFound = 5002, "The configuration service answers again.";
    RevisionAccepted = 5003, "A declaration was accepted and is in force.";
    RevisionRejected = 5004, "A declaration was rejected; the last accepted one stays in force.";
    RevisionIgnored = 5005, "An older revision was offered and ignored.";
    OrderSent = 5006, "An order was sent to a target.";
    OrderDone = 5007, "A target carried out an order.";
    OrderFailed = 5008, "A target refused or failed an order.";
    RolloutHalted = 5009, "A rollout stopped itself after failures of the new version.";
    FleetConverged = 5010, "Every target is in its declared state.";
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
