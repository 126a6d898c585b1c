//! Messages between processes, and values of rows in the table service.
//!
//! Every message is MessagePack with a leading format byte. Fields are encoded by position, which
//! keeps the journal small; any change of a type requires a new format.

pub mod codec;
pub mod fields;
pub mod keys;
pub mod members;
pub mod objects;
pub mod paths;
pub mod peer;
pub mod stored;
pub mod table;
