//! What a deployment speaks to callers and upstreams.

use bytes::BytesMut;
use gateway::message::{CallerMessage, Reply, UpstreamRequest};

/// The bytes are no message of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidMessage;

/// A codec for callers and upstreams.
pub trait Codec: 'static {
    /// Takes the next whole message of a caller out of `buf`. Bytes that are no message give
    /// [`CallerMessage::Invalid`].
    fn decode_caller(&self, buf: &mut BytesMut) -> Option<CallerMessage>;

    /// Writes a reply to a caller.
    fn encode_reply(&self, reply: &Reply, out: &mut Vec<u8>);

    /// Takes the next whole message of an upstream out of `buf`.
    fn decode_reply(&self, buf: &mut BytesMut) -> Result<Option<Reply>, InvalidMessage>;

    /// Writes a request to an upstream.
    fn encode_request(&self, request: &UpstreamRequest, out: &mut Vec<u8>);
}
