//! Load bands.

/// Number of bands.
pub const BAND_COUNT: usize = 3;

/// A band of a worker's load; interference differs between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Band(pub usize);

impl Band {
    /// Returns the band of a load from 0 to 1.
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
