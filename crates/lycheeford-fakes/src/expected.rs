use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of prompt bytes that a fake engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the first `tokens` tokens of a fake engine's completion.
pub fn expected_text(model: &str, prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| expected_token(model, prompt, index)).collect()
}

/// Returns the token at `index` of a fake engine's completion.
///
/// The token depends only on the model, the prompt and the index, so a caller can
/// verify that a completion is not truncated and belongs to its own request.
pub fn expected_token(model: &str, prompt: &str, index: u64) -> String {
    let seed = xxh3_64_with_seed(model.as_bytes(), index);
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
    format!(" {:04x}", hash & 0xffff)
}

/// Returns how many tokens a fake engine counts in a prompt.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64
}
