use std::ops::Sub;

use snafu::Whatever;

use crate::fleet::Fleet;

/// The operations that the simulated platform counts.
const OPERATIONS: [&str; 5] = ["lists", "gets", "puts", "deletes", "watches"];

/// The number of calls that the platform has received, by operation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformCalls([u64; OPERATIONS.len()]);

impl PlatformCalls {
    /// Reads the counts of the simulated platform.
    pub(crate) async fn read(fleet: &Fleet) -> Result<PlatformCalls, Whatever> {
        let calls = fleet.platform_json("/calls").await?;
        Ok(PlatformCalls(OPERATIONS.map(|operation| calls[operation].as_u64().unwrap_or(0))))
    }

    /// Returns the counts, each divided by `divisor`, as text.
    pub(crate) fn each(self, divisor: f64) -> String {
        let counts = OPERATIONS.iter().zip(self.0);
        let counts =
            counts.map(|(operation, count)| format!("{:.2} {operation}", count as f64 / divisor));
        counts.collect::<Vec<String>>().join(", ")
    }
}

impl Sub for PlatformCalls {
    type Output = PlatformCalls;

    fn sub(self, earlier: PlatformCalls) -> PlatformCalls {
        let mut counts = self.0;
        for (count, earlier) in counts.iter_mut().zip(earlier.0) {
            *count -= earlier;
        }
        PlatformCalls(counts)
    }
}
