/// How well a host hears the others, by which it judges what they spend unheard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hearing {
    /// The part of the hosts that are heard, this one included.
    pub part: f64,
    /// How many hosts there are, this one included, as far as it knows.
    pub hosts: usize,
    /// How old what is heard of a host gets between two reports, in milliseconds.
    pub pause_ms: u64,
    /// Whether the whole fleet started with this host, so that nobody spent anything before.
    pub is_new_fleet: bool,
}
