//! Leader leases, one per data centre.
//!
//! The routers of a data centre form a cell. A router leads the cell while a
//! majority of its members has promised to follow no other host. A cell that is
//! partitioned from all others continues to elect leaders. The state is kept in
//! memory only: a restarted member waits until every promise that it may have
//! made has expired. See [docs/design/cells.md](../../../docs/design/cells.md).

mod cell;
mod event;
mod message;
mod record;
mod settings;
mod shares;

pub use cell::Cell;
pub use event::{CellAction, CellEvent, Lease};
pub use message::{CellReply, CellRequest, RequestKind};
pub use record::{ShareCount, ShareRecord, Version};
pub use settings::CellSettings;

/// The types that users of a cell import most.
pub mod prelude {
    pub use crate::{Cell, CellAction, CellEvent, CellSettings, Lease};
}
