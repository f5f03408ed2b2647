use strum::Display;

/// How far this node may rely on its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ViewState {
    /// The node started or resumed and has not compared its view with a peer.
    Unconfirmed,
    /// The view was compared with a peer since the start or the last pause.
    Confirmed,
    /// No peer answered since the start or the last pause.
    Isolated,
}
