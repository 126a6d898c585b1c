//! Bands of a worker's load.

/// Number of bands.
pub const BAND_COUNT: usize = 3;

/// A band of a worker's load; interference is learned separately for each band.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Band(pub usize);

impl Band {
    /// Returns the band of a load, where 0 is idle and 1 is fully reserved.
    pub fn of(load: f64) -> Band {
        if load < 0.5 {
            Band(0)
        } else if load < 0.8 {
            Band(1)
        } else {
            Band(2)
        }
    }
}
