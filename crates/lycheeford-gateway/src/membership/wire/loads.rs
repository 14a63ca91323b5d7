use lycheeford_policy::ShortKey;

/// When models will be ready, as sent by the lease holder to the hosts with waiting requests.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LoadForecasts {
    /// The fencing token of the lease holder.
    pub(crate) token: u64,
    /// How long the sender has held the lease.
    pub(crate) held_ms: u64,
    pub(crate) loads: Vec<(ShortKey, RemainingLoad)>,
}

/// The time until a model is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RemainingLoad {
    /// The load is running or planned.
    Ready { in_ms: u64 },
    /// No load is planned, and none could be done before.
    NotBefore { in_ms: u64 },
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireLoadForecasts {
    #[prost(uint64, tag = "1")]
    token: u64,
    #[prost(uint64, tag = "2")]
    held_ms: u64,
    #[prost(message, repeated, tag = "3")]
    loads: Vec<WireLoadForecast>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireLoadForecast {
    #[prost(fixed32, tag = "1")]
    model: u32,
    #[prost(oneof = "WireRemainingLoad", tags = "2, 3")]
    load: Option<WireRemainingLoad>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum WireRemainingLoad {
    #[prost(uint64, tag = "2")]
    ReadyInMs(u64),
    #[prost(uint64, tag = "3")]
    NotBeforeMs(u64),
}

impl From<LoadForecasts> for WireLoadForecasts {
    fn from(forecasts: LoadForecasts) -> WireLoadForecasts {
        let LoadForecasts { token, held_ms, loads } = forecasts;
        let loads = loads.into_iter().map(WireLoadForecast::from).collect();
        WireLoadForecasts { token, held_ms, loads }
    }
}

impl From<WireLoadForecasts> for LoadForecasts {
    /// Leaves out the models of which a newer build says what this one doesn't know.
    fn from(wire: WireLoadForecasts) -> LoadForecasts {
        let WireLoadForecasts { token, held_ms, loads } = wire;
        let known = |wire: WireLoadForecast| {
            let load = match wire.load? {
                WireRemainingLoad::ReadyInMs(in_ms) => RemainingLoad::Ready { in_ms },
                WireRemainingLoad::NotBeforeMs(in_ms) => RemainingLoad::NotBefore { in_ms },
            };
            Some((ShortKey(wire.model), load))
        };
        LoadForecasts { token, held_ms, loads: loads.into_iter().filter_map(known).collect() }
    }
}

impl From<(ShortKey, RemainingLoad)> for WireLoadForecast {
    fn from((model, load): (ShortKey, RemainingLoad)) -> WireLoadForecast {
        let load = match load {
            RemainingLoad::Ready { in_ms } => WireRemainingLoad::ReadyInMs(in_ms),
            RemainingLoad::NotBefore { in_ms } => WireRemainingLoad::NotBeforeMs(in_ms),
        };
        WireLoadForecast { model: model.0, load: Some(load) }
    }
}
