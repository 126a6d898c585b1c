//! Messages between processes, and the rows that the table service keeps.
//!
//! Every message is MessagePack with one leading byte for its format. Fields go
//! by position, which keeps the journal small; a change of a type is a new
//! format.

pub mod codec;
pub mod fields;
pub mod keys;
pub mod members;
pub mod objects;
pub mod paths;
pub mod peer;
pub mod stored;
pub mod table;
