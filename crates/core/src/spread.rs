//! Rendezvous hashing with a hash that is the same in every process.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Returns a hash of the parts that is stable across processes and releases.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut h = SipHasher13::new_with_keys(0x67_6f_72_73_65, 0x73_70_75_72);
    for part in parts {
        h.write(part.as_bytes());
        h.write_u8(0xff);
    }
    h.finish()
}

/// Returns the candidate with the highest weight for `key`.
pub fn pick<'a, I>(key: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    candidates
        .into_iter()
        .max_by_key(|c| (stable_hash(&[key, c]), *c))
}

/// Returns the shard of `count` that `name` belongs to.
pub fn slot_of(name: &str, count: u32) -> u32 {
    (stable_hash(&["shard", name]) % u64::from(count.max(1))) as u32
}
