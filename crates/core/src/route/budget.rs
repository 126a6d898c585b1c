//! Budgets that limit retries and hedged attempts to a share of the requests.

/// Maximum number of units in a budget.
const MAX_UNITS: u64 = 10_000;

/// Units withdrawn by one use.
const UNITS_PER_USE: u64 = 1_000;

/// A token bucket: each request deposits a fraction of a use, and uses are refused when it is
/// empty.
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
    /// Deposits the share of one request, in thousandths of a use.
    pub fn deposit(&mut self, permille: u32) {
        self.units = (self.units + u64::from(permille)).min(MAX_UNITS);
    }

    /// Withdraws one use if the budget has one left; returns whether it had.
    pub fn try_withdraw(&mut self) -> bool {
        if self.units < UNITS_PER_USE {
            return false;
        }
        self.units -= UNITS_PER_USE;
        true
    }
}
