//! The interface of the wire protocol towards callers and upstreams.

use bytes::BytesMut;
use gateway::message::{CallerMessage, Reply, UpstreamRequest};

/// Error for bytes that are not a message of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidMessage;

/// Encodes and decodes the wire protocol that a deployment uses towards callers and upstreams.
pub trait Codec: 'static {
    /// Removes the next complete message of a caller from `buf`, or returns `None` if it is not
    /// yet complete. Malformed bytes yield [`CallerMessage::Invalid`].
    fn decode_caller(&self, buf: &mut BytesMut) -> Option<CallerMessage>;

    /// Appends a reply to a caller to `out`.
    fn encode_reply(&self, reply: &Reply, out: &mut Vec<u8>);

    /// Removes the next complete reply of an upstream from `buf`, or returns `None` if it is not
    /// yet complete.
    ///
    /// # Errors
    /// The bytes are not a message of the protocol.
    fn decode_reply(&self, buf: &mut BytesMut) -> Result<Option<Reply>, InvalidMessage>;

    /// Appends a request to an upstream to `out`.
    fn encode_request(&self, request: &UpstreamRequest, out: &mut Vec<u8>);
}
