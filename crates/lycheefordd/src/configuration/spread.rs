use lycheeford_config::{Chunk, Head};
use lycheeford_policy::Name;
use lycheeford_wire::{ConfigurationChunk, ConfigurationOffer, Message};
use slog::warn;

use super::adopt::adopt;
use super::committed::Committed;
use super::spread_table::ConfigurationSpread;
use crate::membership::outbox::send;
use crate::state::State;

/// The bytes of chunks in one offer, well below the largest frame.
const OFFER_BYTES_MAX: usize = 512 * 1024;
/// How long one question waits for its offer before another peer is asked.
const ASK_AGAIN_MS: u64 = 500;

/// Asks a peer that has a newer configuration in force for it.
pub(crate) fn ask_for_configuration(state: &State, host: &Name, revision: u64) {
    if revision <= state.configuration.load().revision {
        return;
    }
    let now = state.now();
    let chunk_names = {
        let mut spread = state.configuration_spread.lock();
        if spread.asked_at.is_some_and(|asked_at| now.since_ms(asked_at) < ASK_AGAIN_MS) {
            return;
        }
        spread.asked_at = Some(now);
        let committed = state.committed.load();
        let known = committed.chunks.iter().chain(&spread.chunks);
        known.map(|chunk| chunk.name.clone()).collect()
    };
    send(state, host, Message::ConfigurationAsk(chunk_names));
}

/// Gives a peer the configuration in force, without the chunks that it has.
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

/// Puts a peer's configuration in force once all of it is here.
pub(crate) fn take_configuration(state: &State, offer: ConfigurationOffer) {
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
        let mut spread = state.configuration_spread.lock();
        let offered = offer.chunks.into_iter();
        spread.chunks.extend(offered.map(|chunk| Chunk { name: chunk.name, text: chunk.text }));
        let named = |name: &Name| head.declared.contains(name) || head.keys.contains(name);
        spread.chunks.retain(|chunk| named(&chunk.name));
        let mut chunks = state.committed.load().chunks.clone();
        chunks.extend(spread.chunks.iter().cloned());
        chunks
    };
    // Until the last part is here this fails; every chunk is checked by its digest.
    if let Ok(committed) = Committed::assemble(head, &chunks) {
        adopt(state, committed);
        *state.configuration_spread.lock() = ConfigurationSpread::default();
    }
}
