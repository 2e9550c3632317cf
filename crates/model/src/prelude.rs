//! Types that most modules need, for import with `use model::prelude::*`.

pub use crate::{
    FxHashMap, FxHashSet,
    names::{
        DatabaseName, DcName, KeyName, RouteName, ServiceName, SlotName, VmName, WorkspaceName,
    },
    position::{Position, Term},
    request::{Generation, Incarnation, RequestId, TransactionId},
    time::{DurationUs, MonoTime},
};
