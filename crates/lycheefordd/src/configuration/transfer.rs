use lycheeford_config::{Chunk, Head};
use lycheeford_policy::Name;
use lycheeford_wire::{ConfigurationChunk, ConfigurationOffer, Message};
use slog::warn;

use super::adopt::adopt;
use super::committed::Committed;
use super::transfer_table::ConfigurationTransfer;
use crate::membership::outbox::send;
use crate::state::State;

/// The maximum bytes of chunks in one offer, well below the largest frame.
const OFFER_BYTES_MAX: usize = 512 * 1024;
/// How long a request waits for its offer before another request is sent, to any peer.
const REQUEST_TIMEOUT_MS: u64 = 500;

/// Requests a peer's configuration if its revision is newer than the one in force here.
pub(crate) fn request_configuration(state: &State, host: &Name, revision: u64) {
    if revision <= state.configuration.load().revision {
        return;
    }
    let now = state.now();
    let chunk_names = {
        let mut transfer = state.configuration_transfer.lock();
        if transfer
            .requested_at
            .is_some_and(|requested_at| now.since_ms(requested_at) < REQUEST_TIMEOUT_MS)
        {
            return;
        }
        transfer.requested_at = Some(now);
        let committed = state.committed.load();
        let known = committed.chunks.iter().chain(&transfer.chunks);
        known.map(|chunk| chunk.name.clone()).collect()
    };
    send(state, host, Message::ConfigurationAsk(chunk_names));
}

/// Sends a peer the configuration in force, without the chunks that the peer already has.
pub(crate) fn offer_configuration(state: &State, host: &Name, known: &[Name]) {
    let committed = state.committed.load();
    let Ok(head_json) = serde_json::to_string(&committed.head) else { return };
    let mut offer = ConfigurationOffer { head_json, chunks: Vec::new() };
    let mut offer_bytes = 0;
    for chunk in committed.chunks.iter().filter(|chunk| !known.contains(&chunk.name)) {
        if offer_bytes + chunk.text.len() > OFFER_BYTES_MAX {
            send(state, host, Message::ConfigurationOffer(offer.clone()));
            offer.chunks.clear();
            offer_bytes = 0;
        }
        offer_bytes += chunk.text.len();
        let chunk = ConfigurationChunk { name: chunk.name.clone(), text: chunk.text.clone() };
        offer.chunks.push(chunk);
    }
    send(state, host, Message::ConfigurationOffer(offer));
}

/// Stores the chunks of a peer's offer, and puts the configuration in force once it is complete.
pub(crate) fn accept_configuration(state: &State, offer: ConfigurationOffer) {
    let head = match serde_json::from_str::<Head>(&offer.head_json) {
        Ok(head) => head,
        Err(error) => {
            warn!(state.log, "peer's head not readable"; "error" => %error);
            return;
        }
    };
    if head.revision <= state.configuration.load().revision {
        return;
    }
    let chunks = {
        let mut transfer = state.configuration_transfer.lock();
        let offered = offer.chunks.into_iter();
        transfer.chunks.extend(offered.map(|chunk| Chunk { name: chunk.name, text: chunk.text }));
        let named = |name: &Name| head.declared.contains(name) || head.keys.contains(name);
        transfer.chunks.retain(|chunk| named(&chunk.name));
        let mut chunks = state.committed.load().chunks.clone();
        chunks.extend(transfer.chunks.iter().cloned());
        chunks
    };
    // Fails until the last chunk has arrived; every chunk is verified by its digest.
    if let Ok(committed) = Committed::assemble(head, &chunks) {
        adopt(state, committed);
        *state.configuration_transfer.lock() = ConfigurationTransfer::default();
    }
}
