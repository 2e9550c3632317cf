//! Names of transactions, as callers carry them: any entry VM can tell from one where it is open.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD as BASE64};

use crate::{
    key::FleetSecret,
    names::{VmName, WorkspaceName},
    request::{Incarnation, RequestId, TransactionId, le_u64},
    session::SlotDigest,
};

const NUMBERS_BYTES: usize = 24;
const MAC_BYTES: usize = 16;
const MAC_CONTEXT: &[u8] = b"transaction";

/// The text does not name a transaction of the workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no such transaction in this workspace: send the name that the opening answered")]
pub struct TransactionNameError;

/// Where a transaction is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionName {
    /// The VM that holds its connection.
    pub vm: VmName,
    /// Which run of the VM.
    pub incarnation: Incarnation,
    /// The transaction there.
    pub id: TransactionId,
    /// Its slot.
    pub slot: SlotDigest,
}

impl TransactionName {
    /// The text for the caller, bound to the workspace by the fleet's secret.
    pub fn seal(&self, secret: &FleetSecret, workspace: &WorkspaceName) -> String {
        let mut buf = Vec::new();
        for number in [self.incarnation.0, self.id.0, self.slot.0] {
            buf.extend_from_slice(&number.to_le_bytes());
        }
        buf.extend_from_slice(self.vm.as_str().as_bytes());
        let mac = secret.mac(&[MAC_CONTEXT, workspace.as_str().as_bytes(), &buf]);
        buf.extend_from_slice(&mac[..MAC_BYTES]);
        BASE64.encode(buf)
    }

    /// Opens a text that a caller of the workspace presents.
    pub fn open(
        text: &str,
        secret: &FleetSecret,
        workspace: &WorkspaceName,
    ) -> Result<TransactionName, TransactionNameError> {
        let buf = BASE64.decode(text).map_err(|_| TransactionNameError)?;
        let body_len = buf.len().checked_sub(MAC_BYTES).ok_or(TransactionNameError)?;
        let (body, mac) = buf.split_at(body_len);
        let expected = secret.mac(&[MAC_CONTEXT, workspace.as_str().as_bytes(), body]);
        let genuine: bool = subtle::ConstantTimeEq::ct_eq(&expected[..MAC_BYTES], mac).into();
        if !genuine || body.len() < NUMBERS_BYTES {
            return Err(TransactionNameError);
        }
        let (numbers, vm) = body.split_at(NUMBERS_BYTES);
        let number = |at: usize| le_u64(&numbers[at..at + 8]);
        let vm = std::str::from_utf8(vm).ok().and_then(|vm| VmName::new(vm).ok());
        Ok(TransactionName {
            vm: vm.ok_or(TransactionNameError)?,
            incarnation: Incarnation(number(0)),
            id: TransactionId(number(8)),
            slot: SlotDigest(number(16)),
        })
    }

    /// Names its commit at the upstream.
    pub fn commit_id(&self) -> RequestId {
        RequestId::of_commit(self.vm.as_str(), self.incarnation, self.id)
    }
}
