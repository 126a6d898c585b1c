//! Linear fits of measured quantities.

use std::path::Path;

use snafu::ResultExt;

use crate::error::{FileSnafu, LoadError};

/// A measured quantity as a linear function of a size.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LinearFit {
    pub name: String,
    pub unit: String,
    pub slope: f64,
    pub intercept: f64,
    /// Root mean square error as a share of the mean value.
    pub rms_error: f64,
    /// Measured pairs of size and value.
    pub points: Vec<(f64, f64)>,
}

impl LinearFit {
    /// Fits a line to the points by least squares.
    pub fn fit(name: &str, unit: &str, points: Vec<(f64, f64)>) -> LinearFit {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let mut xy = 0.0;
        let mut xx = 0.0;
        for (x, y) in &points {
            xy += (x - mean_x) * (y - mean_y);
            xx += (x - mean_x) * (x - mean_x);
        }
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let mut squares = 0.0;
        for (x, y) in &points {
            squares += (y - slope * x - intercept).powi(2);
        }
        let rms_error = (squares / n).sqrt() / mean_y.abs().max(1e-12);
        LinearFit {
            name: name.to_owned(),
            unit: unit.to_owned(),
            slope,
            intercept,
            rms_error,
            points,
        }
    }

    /// Returns the fitted value at size `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.slope * x + self.intercept
    }

    /// Prints the fit and its points as one output line.
    pub fn print(&self) {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x}:{y:.3}"))
            .collect();
        println!(
            "slope: name={} unit={} slope={:.6} intercept={:.4} error={:.4} points={}",
            self.name,
            self.unit,
            self.slope,
            self.intercept,
            self.rms_error,
            points.join(",")
        );
    }

    fn parse(line: &str) -> Option<LinearFit> {
        let rest = line.strip_prefix("slope: ")?;
        let get = |key: &str| {
            let mut words = rest.split(' ');
            words.find_map(|w| w.strip_prefix(key)?.strip_prefix('='))
        };
        Some(LinearFit {
            name: get("name")?.to_owned(),
            unit: get("unit")?.to_owned(),
            slope: get("slope")?.parse().ok()?,
            intercept: get("intercept")?.parse().ok()?,
            rms_error: get("error")?.parse().ok()?,
            points: Vec::new(),
        })
    }
}

/// Reads the fits from the output of `slopes`. Other lines are ignored.
pub(crate) fn read_fits(path: &Path) -> Result<Vec<LinearFit>, LoadError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    Ok(text.lines().filter_map(LinearFit::parse).collect())
}
