//! Budgets that grow with requests.

/// Most units that can be saved up.
const MAX_UNITS: u64 = 10_000;

/// Units that one use costs.
const UNITS_PER_USE: u64 = 1_000;

/// A budget: each request adds a share of a use; uses are refused when it is empty.
#[derive(Debug, Clone)]
pub struct Budget {
    units: u64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { units: MAX_UNITS }
    }
}

impl Budget {
    /// Adds the share of one request, in thousandths of a use.
    pub fn deposit(&mut self, permille: u32) {
        self.units = (self.units + u64::from(permille)).min(MAX_UNITS);
    }

    /// Takes one use, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.units < UNITS_PER_USE {
            return false;
        }
        self.units -= UNITS_PER_USE;
        true
    }
}
