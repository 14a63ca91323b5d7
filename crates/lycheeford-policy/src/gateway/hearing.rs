/// How well a host hears the others, by which it judges what they spend unheard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hearing {
    /// The part of the hosts that are heard, this one included.
    pub part: f64,
    /// How many hosts there are, this one included, as far as it knows.
    pub hosts: usize,
    /// The pause between two reports of one host, in milliseconds.
    pub pause_ms: u64,
}
