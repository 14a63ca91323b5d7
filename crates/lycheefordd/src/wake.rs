use async_std::channel::{Receiver, Sender, bounded};

/// Wakes a waiting task; several wake-ups before the task waits again count as one.
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
        // If the channel is full, a wake-up is already pending.
        let _ = self.0.try_send(());
    }

    /// Waits until the task is woken.
    pub(crate) async fn woken(&self) {
        // Can't fail: the sender exists as long as the receiver.
        let _ = self.1.recv().await;
    }
}
