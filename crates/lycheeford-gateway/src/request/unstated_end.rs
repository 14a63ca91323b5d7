//! Answers whose end their target doesn't state: neither a length nor a last chunk, only the end of
//! the connection.

use std::time::{Duration, Instant};

use async_std::future::timeout;
use lycheeford_policy::{Chosen, EndSign, TimeMs};
use lycheeford_target::TargetError;
use slog::info;

use super::attempt::Attempts;

/// How long an answer may be held for the check whether its target still listens.
const EXIT_CHECK_MAX: Duration = Duration::from_millis(200);

/// What a new connection to a target shows after a connection of it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listening {
    /// A process listens at the target's address.
    Accepted,
    /// No process listens there.
    Refused,
    /// Nothing was heard in time.
    Unheard,
    /// The connection failed in another way.
    Failed,
}

impl Listening {
    fn label(self) -> &'static str {
        match self {
            Listening::Accepted => "accepted",
            Listening::Refused => "refused",
            Listening::Unheard => "unheard",
            Listening::Failed => "failed",
        }
    }
}

impl Attempts {
    /// Checks whether a target still runs that ended an answer with its connection, and sent the
    /// last bytes of it at `heard_at`.
    ///
    /// # Errors
    ///
    /// Fails if its process has ended otherwise than planned, as that closes its connections in the
    /// same way.
    pub(super) async fn check_unstated_end(
        &self,
        chosen: &Chosen,
        events: u64,
        heard_at: TimeMs,
    ) -> Result<EndSign, TargetError> {
        let start = Instant::now();
        let targets = &self.state.targets;
        let checked = timeout(EXIT_CHECK_MAX, targets.check_listening(chosen.address)).await;
        let listening = match &checked {
            Ok(Ok(())) => Listening::Accepted,
            Ok(Err(error)) if error.is_connection_refused() => Listening::Refused,
            Ok(Err(_)) => Listening::Failed,
            Err(_) => Listening::Unheard,
        };
        let (has_later_life, may_have_left) = {
            let (now, serve_ms_min) = (self.state.now(), self.state.target_use_ms_max());
            let known = &self.state.dispatcher().targets;
            let may_have_left = known.may_have_left(now, chosen, heard_at, serve_ms_min);
            (known.has_later_life(chosen), may_have_left)
        };
        // Another process may already listen in place of the one that ended.
        let has_closed_idle = targets.has_closed_idle(chosen.address);
        let error = checked.ok().and_then(Result::err);
        self.state.metrics.unstated_end(listening.label());
        info!(self.state.log, "end_unstated";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "life" => chosen.life, "events" => events, "listening" => listening.label(),
            "later_life" => has_later_life, "may_have_left" => may_have_left,
            "idle_closed" => has_closed_idle,
            "error" => error.as_ref().map(TargetError::to_string),
            "check_ms" => u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        match listening {
            Listening::Accepted if !has_closed_idle && !has_later_life => Ok(EndSign::Listens),
            // A process that exits as planned has ended its answers before.
            _ if may_have_left => Ok(EndSign::Unknown),
            Listening::Refused => Err(TargetError::ended_early("its target is gone")),
            _ if has_later_life => Err(TargetError::ended_early("its target has restarted")),
            Listening::Accepted | Listening::Unheard | Listening::Failed => Ok(EndSign::Unknown),
        }
    }
}
