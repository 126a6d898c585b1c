//! Measurements, each against its baseline in one run.
