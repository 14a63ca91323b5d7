use async_std::channel::{Receiver, Sender, bounded};

/// Wakes a task that waits; wake-ups that come before it looks count as one.
#[derive(Debug)]
pub(crate) struct Wake(Sender<()>, Receiver<()>);

impl Default for Wake {
    fn default() -> Wake {
        let (sender, receiver) = bounded(1);
        Wake(sender, receiver)
    }
}

impl Wake {
    pub(crate) fn wake(&self) {
        // A full channel has a wake-up in it already.
        let _ = self.0.try_send(());
    }

    /// Waits until the task is woken.
    pub(crate) async fn woken(&self) {
        // The sender lives as long as the receiver.
        let _ = self.1.recv().await;
    }
}
