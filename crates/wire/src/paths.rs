//! URL paths of all interfaces.

/// Table service: a transaction.
pub const TX: &str = "/table/tx";
/// Table service: read rows.
pub const GET: &str = "/table/get";
/// Table service: read rows by prefix.
pub const SCAN: &str = "/table/scan";
/// Object store: prefix before an object's key.
pub const OBJECTS: &str = "/objects/";
/// Membership list.
pub const MEMBERS: &str = "/members";
/// Worker: one exchange.
pub const EXCHANGE: &str = "/exchange";
/// Peer: targets of a shard.
pub const PEER_TARGETS: &str = "/peer/targets";
/// Peer: templates that are newer than the caller's.
pub const PEER_CONFIG: &str = "/peer/config";
/// Peer: states of jobs, and cancellation.
pub const PEER_JOBS: &str = "/peer/jobs";
/// Peer: status of an instance, for operators.
pub const PEER_STATUS: &str = "/peer/status";
