//! The types that nearly every module needs.

pub use crate::{
    FxHashMap, FxHashSet,
    names::{
        DatabaseName, DcName, KeyName, RouteName, ServiceName, SlotName, VmName, WorkspaceName,
    },
    position::{Position, Term},
    request::{Generation, Incarnation, RequestId, TransactionId},
    time::{DurationUs, MonoTime},
};
