use std::net::SocketAddr;

use lycheeford_policy::{Name, build_name};
use slog::warn;

use super::wire::DecodeError;
use crate::state::State;

/// The most senders that are logged at a time; the messages of further ones are only counted.
const SENDERS_MAX: usize = 32;

/// Messages of other hosts that weren't understood, or only in part, and aren't logged yet.
#[derive(Debug, Default)]
pub(crate) struct Unread {
    senders: Vec<UnreadSender>,
    /// The messages of senders beyond `SENDERS_MAX`.
    further_messages: u64,
}

#[derive(Debug)]
struct UnreadSender {
    address: SocketAddr,
    /// Messages that weren't understood at all.
    messages: u64,
    /// Messages that were understood except for some fields.
    partial_messages: u64,
    /// Why the last of them wasn't understood, or the fields.
    last: String,
}

impl Unread {
    fn sender(&mut self, address: SocketAddr) -> Option<&mut UnreadSender> {
        let found = self.senders.iter().position(|sender| sender.address == address);
        let index = match found {
            Some(index) => index,
            None if self.senders.len() < SENDERS_MAX => {
                let last = String::new();
                self.senders.push(UnreadSender { address, messages: 0, partial_messages: 0, last });
                self.senders.len() - 1
            }
            None => {
                self.further_messages += 1;
                return None;
            }
        };
        Some(&mut self.senders[index])
    }
}

/// Counts a message that wasn't understood.
pub(super) fn count_unread(state: &State, address: SocketAddr, error: &DecodeError) {
    state.metrics.unread_message("message");
    let mut membership = state.membership();
    membership.hosts.record_unread(state.now(), address);
    if let Some(sender) = membership.unread.sender(address) {
        sender.messages += 1;
        sender.last = error.to_string();
    }
}

/// Counts a message of which some fields weren't understood, if there are any.
pub(super) fn count_unread_fields(state: &State, address: SocketAddr, fields: &[&str]) {
    if fields.is_empty() {
        return;
    }
    state.metrics.unread_message("part");
    if let Some(sender) = state.membership().unread.sender(address) {
        sender.partial_messages += 1;
        sender.last = format!("left out of a message: {}", fields.join(", "));
    }
}

/// Logs the messages that weren't understood since the last call, one line for each sender.
pub(crate) fn log_unread(state: &State) {
    let (unread, builds) = {
        let mut membership = state.membership();
        let unread = std::mem::take(&mut membership.unread);
        let build = |sender: &UnreadSender| membership.build(sender.address).cloned();
        let builds: Vec<Option<(Name, Option<Name>)>> = unread.senders.iter().map(build).collect();
        (unread, builds)
    };
    let own_build = build_name();
    for (sender, known) in unread.senders.into_iter().zip(builds) {
        let (peer, build) = known.map_or((None, None), |(host, build)| (Some(host), build));
        warn!(state.log, "report_unreadable";
            "peer" => peer.as_ref().map(Name::as_str),
            "address" => %sender.address,
            "messages" => sender.messages,
            "partial_messages" => sender.partial_messages,
            "error" => sender.last,
            "build" => own_build.as_str(),
            "peer_build" => build.as_ref().map(Name::as_str));
    }
    if unread.further_messages > 0 {
        warn!(state.log, "report_unreadable"; "messages" => unread.further_messages,
            "error" => "of further senders", "build" => own_build.as_str());
    }
}
