//! Resource sizes: CPU, memory and accelerators.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
    ser::SerializeTuple,
};

/// Number of resource dimensions.
const DIMENSIONS: usize = 3;

/// An amount of CPU, memory and accelerators.
///
/// The fields are integers so that repeated additions and subtractions are
/// exact. A size is serialized as a tuple without field names because every
/// start request contains one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Size {
    /// CPU in thousandths of a core.
    pub cpu: u64,
    /// Memory in bytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accels: u32,
}

impl Size {
    /// Creates a size from thousandths of a core, bytes and a number of accelerators.
    pub const fn new(cpu: u64, memory: u64, accels: u32) -> Size {
        Size {
            cpu,
            memory,
            accels,
        }
    }

    /// Returns whether `self` is at most `capacity` in every dimension.
    pub fn fits_in(&self, capacity: &Size) -> bool {
        self.cpu <= capacity.cpu && self.memory <= capacity.memory && self.accels <= capacity.accels
    }

    /// Adds each dimension, saturating at the largest value.
    pub fn saturating_add(&self, other: &Size) -> Size {
        Size {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accels: self.accels.saturating_add(other.accels),
        }
    }

    /// Subtracts each dimension, saturating at zero.
    pub fn saturating_sub(&self, other: &Size) -> Size {
        Size {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accels: self.accels.saturating_sub(other.accels),
        }
    }

    /// Returns the smaller value of each dimension.
    pub fn min(&self, other: &Size) -> Size {
        Size {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accels: self.accels.min(other.accels),
        }
    }

    /// Returns the larger value of each dimension.
    pub fn max(&self, other: &Size) -> Size {
        Size {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accels: self.accels.max(other.accels),
        }
    }

    /// Divides each dimension by `n`, rounding down; 0 counts as 1.
    pub fn divide(&self, n: u64) -> Size {
        let n = n.max(1);
        Size {
            cpu: self.cpu / n,
            memory: self.memory / n,
            accels: (u64::from(self.accels) / n) as u32,
        }
    }

    /// Returns the largest fraction of `total` that `self` takes in any dimension.
    ///
    /// Dimensions of which `total` has none count as 0.
    pub fn load(&self, total: &Size) -> f64 {
        let fraction = |a: u64, b: u64| if b == 0 { 0.0 } else { a as f64 / b as f64 };
        fraction(self.cpu, total.cpu)
            .max(fraction(self.memory, total.memory))
            .max(fraction(self.accels.into(), total.accels.into()))
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(DIMENSIONS)?;
        tuple.serialize_element(&self.cpu)?;
        tuple.serialize_element(&self.memory)?;
        tuple.serialize_element(&self.accels)?;
        tuple.end()
    }
}

struct SizeVisitor;

impl<'de> Visitor<'de> for SizeVisitor {
    type Value = Size;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("milli-cores, bytes and accelerators")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Size, A::Error> {
        let too_short = |n| A::Error::invalid_length(n, &"three numbers");
        Ok(Size {
            cpu: seq.next_element()?.ok_or_else(|| too_short(0))?,
            memory: seq.next_element()?.ok_or_else(|| too_short(1))?,
            accels: seq.next_element()?.ok_or_else(|| too_short(2))?,
        })
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Size, D::Error> {
        deserializer.deserialize_tuple(DIMENSIONS, SizeVisitor)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mib = self.memory >> 20;
        write!(f, "{}m cpu, {mib} MiB, {} accels", self.cpu, self.accels)
    }
}
