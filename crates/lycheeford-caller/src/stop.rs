use async_std::channel::{self, Receiver, Sender};

/// Shuts a server down gracefully.
///
/// A triggered server accepts no further connections once callers no longer open
/// any, and finishes the requests that it has. Clones share one state, and a triggered stop can't be reset.
/// A server that must end soon also refuses incomplete requests, see
/// [`Stop::refuse_incomplete`].
///
/// ```
/// use lycheeford_caller::Stop;
///
/// let stop = Stop::new();
/// stop.clone().trigger();
/// assert!(stop.is_triggered());
/// ```
#[derive(Debug, Clone)]
pub struct Stop {
    sender: Sender<()>,
    receiver: Receiver<()>,
    incomplete_sender: Sender<()>,
    incomplete_receiver: Receiver<()>,
}

impl Stop {
    /// Returns a stop that isn't triggered.
    pub fn new() -> Stop {
        let (sender, receiver) = channel::bounded(1);
        let (incomplete_sender, incomplete_receiver) = channel::bounded(1);
        Stop { sender, receiver, incomplete_sender, incomplete_receiver }
    }

    /// Triggers the stop for every clone.
    pub fn trigger(&self) {
        self.sender.close();
    }

    /// Returns whether the stop was triggered.
    pub fn is_triggered(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the stop is triggered.
    pub async fn triggered(&self) {
        // Nothing is ever sent, so `recv` returns only when the channel is closed.
        let _ = self.receiver.recv().await;
    }

    /// Triggers the stop and makes the server refuse requests that haven't arrived completely.
    pub fn refuse_incomplete(&self) {
        self.trigger();
        self.incomplete_sender.close();
    }

    /// Waits until the server must refuse incomplete requests.
    pub(crate) async fn incomplete_refusal_triggered(&self) {
        // Nothing is ever sent, as in `triggered`.
        let _ = self.incomplete_receiver.recv().await;
    }
}

impl Default for Stop {
    fn default() -> Stop {
        Stop::new()
    }
}
