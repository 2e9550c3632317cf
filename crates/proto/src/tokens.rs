//! Messages by which VMs lend each other rate-limit tokens.

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// A request about rate tokens to another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenRequest {
    /// Asks for a loan of tokens.
    Ask(TokenLoanRequest),
    /// Settles a loan whose tokens can't be spent any more.
    Settle(TokenSettlement),
    /// Probes whether the VM can be reached.
    Probe,
}

/// Reply to a [`TokenRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenReply {
    /// Lends tokens in reply to [`TokenRequest::Ask`].
    Loan(TokenLoan),
    /// Acknowledges any other request.
    Taken,
}

/// Asks for a loan of a workspace's tokens, for requests that wait at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLoanRequest {
    /// Name of the sender.
    pub vm: VmName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Workspace whose tokens are requested.
    pub workspace: WorkspaceName,
    /// Sequence number, increased by one with each request of an incarnation, so that the lender
    /// can recognise duplicates.
    pub id: u64,
    /// Requested amount, in millionths of a token.
    pub want_micro: u64,
    /// Time after sending this request, on the sender's clock, within which it may spend the loan.
    pub lifetime: DurationUs,
}

/// Reply to a [`TokenLoanRequest`]. The lender no longer has the tokens that it lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLoan {
    /// Sequence number of the request.
    pub id: u64,
    /// Loan number at the lender; zero if nothing was lent.
    pub loan: u64,
    /// Lent amount, in millionths of a token; less than requested if the lender has no more.
    pub amount_micro: u64,
}

/// Ends a loan: the borrower has spent it except for the unused amount, which the lender gets back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenSettlement {
    /// Workspace whose tokens were lent.
    pub workspace: WorkspaceName,
    /// Loan number at the lender.
    pub loan: u64,
    /// Unused amount, in millionths of a token, which the borrower will never spend.
    pub unused_micro: u64,
}
