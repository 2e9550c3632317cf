//! Session tokens: the positions that a session has seen, carried by the caller.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD as BASE64};

use crate::{
    key::FleetSecret,
    names::WorkspaceName,
    position::{Position, Term},
    request::le_u64,
};

/// Most slots that one session can carry.
pub const SESSION_MAX_SLOTS: usize = 64;

const ENTRY_BYTES: usize = 24;
const MAC_BYTES: usize = 16;
const MAC_CONTEXT: &[u8] = b"session";

/// Identifies a slot of a service inside a session token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotDigest(pub u64);

impl SlotDigest {
    /// The digest of a slot's full name.
    pub fn new(service: &str, slot: &str) -> SlotDigest {
        let mut hasher = blake3::Hasher::new_derive_key("jasminepass slot digest v1");
        hasher.update(service.as_bytes());
        hasher.update(&[0]);
        hasher.update(slot.as_bytes());
        SlotDigest(le_u64(&hasher.finalize().as_bytes()[..8]))
    }
}

/// What is wrong with a session token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// Not a token of this fleet, or of another workspace.
    #[error(
        "the session token is not valid for this workspace: send the one from the last answer, or none to start a new session"
    )]
    Invalid,
    /// The session has touched too many slots.
    #[error("the session spans more than 64 slots: start a new session without a token")]
    TooManySlots,
}

/// The highest position seen in each slot that the session touched.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    seen: Vec<(SlotDigest, Position)>,
}

impl Session {
    /// Position that an answer must cover in the slot.
    pub fn seen(&self, slot: SlotDigest) -> Position {
        match self.seen.binary_search_by_key(&slot, |(s, _)| *s) {
            Ok(at) => self.seen[at].1,
            Err(_) => Position::ZERO,
        }
    }

    /// Records that the session has seen the position.
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

    /// Forgets a position that the slot's history no longer has, in favour of the one stated.
    pub fn reset(&mut self, slot: SlotDigest, position: Position) {
        if let Ok(at) = self.seen.binary_search_by_key(&slot, |(s, _)| *s) {
            self.seen[at].1 = position;
        }
    }

    /// The token for the caller, bound to the workspace by the fleet's secret.
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

    /// Opens a token that a caller of the workspace presents.
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
