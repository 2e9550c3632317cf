//! Session tokens. A token holds the log positions that a session has observed; the caller sends it
//! with each request, so that VMs need no shared session state.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD as BASE64};

use crate::{
    key::FleetSecret,
    names::WorkspaceName,
    position::{Position, Term},
    request::le_u64,
};

/// Maximum number of slots that one session can span.
pub const SESSION_MAX_SLOTS: usize = 64;

/// Length of an entry: slot digest, term and index, 8 bytes each.
const ENTRY_BYTES: usize = 24;
const MAC_BYTES: usize = 16;
/// Domain separation: codes for other uses of the fleet's secret don't verify as session tokens.
const MAC_CONTEXT: &[u8] = b"session";

/// Hash of a service's and a slot's name, which identifies the slot in a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotDigest(pub u64);

impl SlotDigest {
    /// Hashes the names of the service and the slot.
    pub fn new(service: &str, slot: &str) -> SlotDigest {
        let mut hasher = blake3::Hasher::new_derive_key("jasminepass slot digest v1");
        hasher.update(service.as_bytes());
        hasher.update(&[0]);
        hasher.update(slot.as_bytes());
        SlotDigest(le_u64(&hasher.finalize().as_bytes()[..8]))
    }
}

/// Why a session token can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The token is malformed, or was not issued by this fleet to this workspace.
    #[error(
        "the session token is not valid for this workspace: send the one from the last answer, or none to start a new session"
    )]
    Invalid,
    /// The session has used more than [`SESSION_MAX_SLOTS`] slots.
    #[error("the session spans more than 64 slots: start a new session without a token")]
    TooManySlots,
}

/// The highest position that a session has observed in each slot that it used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// Sorted by digest.
    seen: Vec<(SlotDigest, Position)>,
}

impl Session {
    /// The position that a database must have applied in the slot to serve the session; zero if the
    /// session has not used the slot.
    pub fn seen(&self, slot: SlotDigest) -> Position {
        match self.seen.binary_search_by_key(&slot, |(s, _)| *s) {
            Ok(at) => self.seen[at].1,
            Err(_) => Position::ZERO,
        }
    }

    /// Raises the slot's position to the given one, if that is higher.
    pub fn record(&mut self, slot: SlotDigest, position: Position) -> Result<(), SessionError> {
        match self.seen.binary_search_by_key(&slot, |(s, _)| *s) {
            Ok(at) => self.seen[at].1 = self.seen[at].1.max(position),
            Err(_) if self.seen.len() == SESSION_MAX_SLOTS => {
                return Err(SessionError::TooManySlots);
            }
            Err(at) => self.seen.insert(at, (slot, position)),
        }
        Ok(())
    }

    /// Replaces the slot's position, also by a lower one, after a failover lost the old one. Has no
    /// effect if the session has not used the slot.
    pub fn reset(&mut self, slot: SlotDigest, position: Position) {
        if let Ok(at) = self.seen.binary_search_by_key(&slot, |(s, _)| *s) {
            self.seen[at].1 = position;
        }
    }

    /// Encodes the session as a token that is valid only for the workspace. The code of the fleet's
    /// secret protects it against changes; its content is not encrypted.
    pub fn seal(&self, secret: &FleetSecret, workspace: &WorkspaceName) -> String {
        let mut buf = Vec::with_capacity(self.seen.len() * ENTRY_BYTES + MAC_BYTES);
        for (slot, position) in &self.seen {
            buf.extend_from_slice(&slot.0.to_le_bytes());
            buf.extend_from_slice(&position.term.0.to_le_bytes());
            buf.extend_from_slice(&position.index.to_le_bytes());
        }
        let mac = secret.mac(&[MAC_CONTEXT, workspace.as_str().as_bytes(), &buf]);
        buf.extend_from_slice(&mac[..MAC_BYTES]);
        BASE64.encode(buf)
    }

    /// Verifies and decodes a token that a caller of the workspace presents.
    pub fn open(
        token: &str,
        secret: &FleetSecret,
        workspace: &WorkspaceName,
    ) -> Result<Session, SessionError> {
        let buf = BASE64.decode(token).map_err(|_| SessionError::Invalid)?;
        let body_len = buf.len().checked_sub(MAC_BYTES).ok_or(SessionError::Invalid)?;
        let (body, mac) = buf.split_at(body_len);
        let parts = [MAC_CONTEXT, workspace.as_str().as_bytes(), body];
        let genuine = secret.verify_truncated(&parts, mac);
        let whole =
            body.len().is_multiple_of(ENTRY_BYTES) && body.len() / ENTRY_BYTES <= SESSION_MAX_SLOTS;
        if !genuine || !whole {
            return Err(SessionError::Invalid);
        }
        Ok(Session { seen: body.chunks_exact(ENTRY_BYTES).map(entry).collect() })
    }
}

fn entry(buf: &[u8]) -> (SlotDigest, Position) {
    let number = |at: usize| le_u64(&buf[at..at + 8]);
    (SlotDigest(number(0)), Position::new(Term(number(8)), number(16)))
}
