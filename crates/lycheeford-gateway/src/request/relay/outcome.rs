//! The steps of a stream at one target, and how it ends there.

use lycheeford_policy::{Chosen, EndSign, TimeMs};
use lycheeford_target::{TargetError, TargetResponse};

use crate::request::attempt::{PendingCall, StartedResponse};
use crate::request::silence::LeaveIf;
use crate::request::slot::Slot;

/// How a stream ended at one target.
pub(super) enum End {
    Done,
    /// The connection ended, and nothing shows that the stream is incomplete. The next target may
    /// have the stream already, since this one was silent before.
    Unstated(EndSign, Option<Box<PendingCall>>),
    /// This target has no further event, as another one before it, and neither states the end.
    Agreed,
    HungUp,
    OutOfTime,
    HostStopping,
    NoMemory,
    /// The target failed, while this call to the next one was pending, if any.
    Broken(TargetError, Option<Box<PendingCall>>),
    /// The stream has stalled since this time, and the next target has it.
    Moved(TimeMs, Box<NextTarget>),
}

impl End {
    pub(super) fn broken(error: TargetError, stall: Stall) -> End {
        End::Broken(error, stall.next.map(Box::new))
    }
}

/// A target that goes on with a stream.
pub(super) enum NextTarget {
    Started(Box<StartedResponse>),
    /// It hasn't answered yet.
    Pending(PendingCall),
}

impl NextTarget {
    pub(super) fn chosen(&self) -> &Chosen {
        match self {
            NextTarget::Started(started) => &started.slot.chosen,
            NextTarget::Pending(pending) => &pending.slot.chosen,
        }
    }
}

/// Why a caller's stream is broken off for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cut {
    CallerLeft,
    DeadlinePassed,
    HostStopping,
    /// This host has no memory for the stream.
    NoMemory,
    /// The last event has no id after which another target could go on.
    WithoutIds,
    /// The request may not be sent to another target.
    NoAttemptLeft,
    /// No other target took the request.
    NoOtherTarget,
}

impl Cut {
    pub(super) fn label(self) -> &'static str {
        match self {
            Cut::CallerLeft => "caller_left",
            Cut::DeadlinePassed => "deadline_passed",
            Cut::HostStopping => "host_stopping",
            Cut::NoMemory => "no_memory",
            Cut::WithoutIds => "without_ids",
            Cut::NoAttemptLeft => "no_attempt_left",
            Cut::NoOtherTarget => "no_other_target",
        }
    }

    pub(super) fn cause(self) -> &'static str {
        match self {
            Cut::CallerLeft => "caller left",
            Cut::DeadlinePassed => "deadline passed",
            Cut::HostStopping => "this host is stopping",
            Cut::NoMemory => "this host has no memory for the stream",
            Cut::WithoutIds => "the last event has no id to go on after",
            Cut::NoAttemptLeft => "the request may not be sent to another target",
            Cut::NoOtherTarget => "no other target took the stream",
        }
    }
}

/// The next step of a stream.
pub(super) enum Next {
    Chunk(Result<Option<Vec<u8>>, TargetError>),
    HungUp,
    HostStopping,
}

/// What happened first after a stream had stalled.
pub(super) enum StallOutcome {
    Next(Next),
    OtherSlot(Slot),
    /// The next target answered, or the call to it failed.
    Answered(Result<TargetResponse, TargetError>),
    /// The stream may not be at two targets for longer.
    OverlapOver,
    OutOfTime,
}

/// A pause of a stream.
pub(super) struct Stall {
    /// When the last event came, or the request was sent if none has.
    pub(super) since: TimeMs,
    pub(super) leave_if: LeaveIf,
    /// Whether the pause has been long enough to look for another target.
    pub(super) is_long: bool,
    /// The call to the next target. Until it answers, the stream may still go on at the current one.
    pub(super) next: Option<PendingCall>,
    /// When another target may be sought, after one that didn't take the stream.
    pub(super) seek_at: TimeMs,
}

impl Stall {
    pub(super) fn new(now: TimeMs, leave_if: LeaveIf) -> Stall {
        Stall { since: now, leave_if, is_long: false, next: None, seek_at: now }
    }
}
