//! Handles of open transactions. The caller sends the handle with each step, and any VM learns from
//! it which VM holds the transaction.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD as BASE64};

use crate::{
    key::FleetSecret,
    names::{VmName, WorkspaceName},
    request::{Incarnation, RequestId, TransactionId, le_u64},
    session::SlotDigest,
};

/// Length of the incarnation, transaction identifier and slot digest, 8 bytes each. The VM's name
/// follows.
const FIXED_BYTES: usize = 24;
const MAC_BYTES: usize = 16;
/// Domain separation: codes for other uses of the fleet's secret don't verify as handles.
const MAC_CONTEXT: &[u8] = b"transaction";

/// The text is not a valid handle of a transaction in the workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "there is no such transaction in this workspace: send the `transaction` value that the begin request returned"
)]
pub struct TransactionHandleError;

/// Identifies an open transaction and the VM that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionHandle {
    /// The VM that holds the transaction's database connection.
    pub vm: VmName,
    /// The run of that VM's daemon. A transaction doesn't outlive it.
    pub incarnation: Incarnation,
    /// Identifier of the transaction on that VM.
    pub id: TransactionId,
    /// The slot that the transaction uses.
    pub slot: SlotDigest,
}

impl TransactionHandle {
    /// Encodes the handle as a text that is valid only for the workspace, protected by the fleet's
    /// secret.
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

    /// Verifies and decodes a handle that a caller of the workspace presents.
    pub fn open(
        text: &str,
        secret: &FleetSecret,
        workspace: &WorkspaceName,
    ) -> Result<TransactionHandle, TransactionHandleError> {
        let buf = BASE64.decode(text).map_err(|_| TransactionHandleError)?;
        let body_len = buf.len().checked_sub(MAC_BYTES).ok_or(TransactionHandleError)?;
        let (body, mac) = buf.split_at(body_len);
        let expected = secret.mac(&[MAC_CONTEXT, workspace.as_str().as_bytes(), body]);
        let genuine: bool = subtle::ConstantTimeEq::ct_eq(&expected[..MAC_BYTES], mac).into();
        if !genuine || body.len() < FIXED_BYTES {
            return Err(TransactionHandleError);
        }
        let (numbers, vm) = body.split_at(FIXED_BYTES);
        let number = |at: usize| le_u64(&numbers[at..at + 8]);
        let vm = std::str::from_utf8(vm).ok().and_then(|vm| VmName::new(vm).ok());
        Ok(TransactionHandle {
            vm: vm.ok_or(TransactionHandleError)?,
            incarnation: Incarnation(number(0)),
            id: TransactionId(number(8)),
            slot: SlotDigest(number(16)),
        })
    }

    /// The request identifier under which the upstream records the transaction's commit.
    pub fn commit_id(&self) -> RequestId {
        RequestId::of_commit(self.vm.as_str(), self.incarnation, self.id)
    }
}
