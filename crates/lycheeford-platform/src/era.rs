use std::sync::atomic::{AtomicU64, Ordering};

use lycheeford_policy::StoreVersion;

use crate::{Category, PlatformError};

/// The newest era of the store that any answer has stated.
///
/// An answer that was made before a restore and arrives after one that was made later tells what is
/// no longer so; it is rejected.
#[derive(Debug, Default)]
pub struct EraGate {
    /// 0 until an answer has stated an era.
    newest: AtomicU64,
}

impl EraGate {
    /// Returns the newest era that any answer has stated; the first one if none has.
    pub fn newest(&self) -> u64 {
        self.newest.load(Ordering::SeqCst).max(StoreVersion::FIRST_ERA)
    }

    /// Records the era that an answer states, and returns it.
    ///
    /// A store that has never stated its era is in the first one, and so is one that states 0.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`] if the era is unreadable, or older than that of an
    /// answer before, or if the answer doesn't state it although an answer before did.
    pub fn admit(&self, stated: Option<&str>) -> Result<u64, PlatformError> {
        let newest = self.newest.load(Ordering::SeqCst);
        let Some(stated) = stated else {
            if newest == 0 {
                return Ok(StoreVersion::FIRST_ERA);
            }
            return Err(rejected("the store's answer doesn't state its era any more"));
        };
        // A store may count its restores from 0.
        let era = stated.trim().parse::<u64>().ok().and_then(|restores| restores.checked_add(1));
        let Some(era) = era else {
            return Err(rejected(&format!("the store's era can't be read ({stated:?})")));
        };
        let newest = self.newest.fetch_max(era, Ordering::SeqCst);
        if era < newest {
            let message = format!("the answer is of the store's era {era}, now it is {newest}");
            return Err(rejected(&message));
        }
        Ok(era)
    }
}

fn rejected(message: &str) -> PlatformError {
    PlatformError::new(Category::Unavailable, format!("{message}; ask again"))
}
