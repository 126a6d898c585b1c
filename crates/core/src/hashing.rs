//! Rendezvous hashing.
//!
//! All processes and releases must map a name to the same shard, so the hash
//! has fixed keys.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// SipHash keys; changing them changes the assignment of every name.
const SIPHASH_KEYS: (u64, u64) = (0x67_6f72_7365, 0x7370_7572);

/// Terminates each hashed part; this byte never occurs in UTF-8 text.
const PART_END: u8 = 0xff;

/// A hasher that gives the same result in every process and release.
#[derive(Debug, Clone)]
pub struct StableHasher {
    inner: SipHasher13,
}

impl StableHasher {
    /// Returns an empty hasher.
    pub fn new() -> StableHasher {
        StableHasher {
            inner: SipHasher13::new_with_keys(SIPHASH_KEYS.0, SIPHASH_KEYS.1),
        }
    }
}

impl Default for StableHasher {
    fn default() -> StableHasher {
        StableHasher::new()
    }
}

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        self.inner.finish()
    }

    fn write(&mut self, bytes: &[u8]) {
        self.inner.write(bytes);
    }
}

/// Returns a hash of `parts` that is the same in every process and release.
///
/// The boundaries between parts count: `["ab"]` and `["a", "b"]` differ.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hasher = StableHasher::new();
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write(&[PART_END]);
    }
    hasher.finish()
}

/// Returns the candidate with the highest weight for `key`, or `None` without candidates.
pub fn highest_weight<'a, I>(key: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    candidates
        .into_iter()
        .max_by_key(|c| (stable_hash(&[key, c]), *c))
}

/// Returns the index of the shard that `name` belongs to, out of `count` shards.
pub fn shard_of(name: &str, count: u32) -> u32 {
    (stable_hash(&["shard", name]) % u64::from(count.max(1))) as u32
}
