use strum::Display;

/// State of this node's view: whether a peer has confirmed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ViewState {
    /// The node started or resumed and has not compared its view with a peer yet.
    Unconfirmed,
    /// A peer had an equal view, or a sync with a peer was completed, since the start or the last
    /// pause.
    Confirmed,
    /// No peer confirmed the view in time after the start or the last pause.
    Isolated,
}
