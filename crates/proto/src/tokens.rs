//! Transfer of rate tokens between VMs.

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// A message about tokens to another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenRequest {
    /// Asks for tokens.
    Ask(TokenLoanRequest),
    /// Borrowed tokens can't be spent any more.
    Settle(TokenSettlement),
    /// Asks whether the VM can be reached.
    Probe,
}

/// The answer to a [`TokenRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenReply {
    /// Tokens.
    Loan(TokenLoan),
    /// The message was taken.
    Taken,
}

/// Asks for tokens of a workspace, for requests that wait at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLoanRequest {
    /// The sender.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Raised by one with each message of that run, so that a copy is recognised.
    pub id: u64,
    /// Millionths of a token that are wanted.
    pub want_micro: u64,
    /// How long after sending this the sender may spend what it gets, on its own clock.
    pub lifetime: DurationUs,
}

/// Answer to a [`TokenLoanRequest`]: tokens that the lender no longer has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLoan {
    /// Which message it answers.
    pub id: u64,
    /// Number of the loan at the lender; zero if nothing was lent.
    pub loan: u64,
    /// Millionths of a token; less than was wanted if the lender has no more.
    pub amount_micro: u64,
}

/// Says that a loan is spent, but for what the borrower has dropped and the lender may have back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenSettlement {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Number of the loan at the lender.
    pub loan: u64,
    /// Millionths of a token that were not spent and never will be.
    pub unused_micro: u64,
}
