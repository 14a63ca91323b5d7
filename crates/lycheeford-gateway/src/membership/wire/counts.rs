use lycheeford_policy::{RunningAt, ShortKey};

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireRunning {
    #[prost(fixed32, tag = "1")]
    target: u32,
    #[prost(fixed32, tag = "2")]
    model: u32,
    #[prost(uint32, tag = "3")]
    running: u32,
    #[prost(uint64, tag = "4")]
    tokens: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireCount {
    #[prost(fixed32, tag = "1")]
    key: u32,
    #[prost(double, tag = "2")]
    count: f64,
}

impl From<RunningAt> for WireRunning {
    fn from(at: RunningAt) -> WireRunning {
        let RunningAt { target, model, running, tokens } = at;
        WireRunning { target: target.0, model: model.0, running, tokens }
    }
}

impl From<WireRunning> for RunningAt {
    fn from(wire: WireRunning) -> RunningAt {
        RunningAt {
            target: ShortKey(wire.target),
            model: ShortKey(wire.model),
            running: wire.running,
            tokens: wire.tokens,
        }
    }
}

impl From<(ShortKey, f64)> for WireCount {
    fn from((key, count): (ShortKey, f64)) -> WireCount {
        WireCount { key: key.0, count }
    }
}

impl From<WireCount> for (ShortKey, f64) {
    fn from(wire: WireCount) -> (ShortKey, f64) {
        (ShortKey(wire.key), wire.count)
    }
}
