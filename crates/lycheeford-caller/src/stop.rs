use async_std::channel::{self, Receiver, Sender};

/// Tells a server to stop accepting and to finish what it has.
///
/// Clones share one state; once triggered it stays so. A server that must end
/// soon is hurried besides.
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
    hurry_sender: Sender<()>,
    hurry_receiver: Receiver<()>,
}

impl Stop {
    /// Returns a stop that isn't triggered.
    pub fn new() -> Stop {
        let (sender, receiver) = channel::bounded(1);
        let (hurry_sender, hurry_receiver) = channel::bounded(1);
        Stop { sender, receiver, hurry_sender, hurry_receiver }
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
        // Nothing is ever sent, so this returns only when the channel is closed.
        let _ = self.receiver.recv().await;
    }

    /// Triggers the stop and has requests refused that haven't come whole.
    pub fn hurry(&self) {
        self.trigger();
        self.hurry_sender.close();
    }

    /// Waits until the server is hurried.
    pub(crate) async fn hurried(&self) {
        // As in `triggered`.
        let _ = self.hurry_receiver.recv().await;
    }
}

impl Default for Stop {
    fn default() -> Stop {
        Stop::new()
    }
}
