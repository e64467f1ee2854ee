//! Encoding to and from the compact protocol, with bounds on what a peer can make us allocate.

use thrift::{
    TConfiguration,
    protocol::{TCompactInputProtocol, TCompactOutputProtocol, TSerializable},
};

/// The largest frame accepted from a peer.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// The longest list or string in a frame, in elements or bytes.
const MAX_CONTAINER_LEN: usize = 4 * 1024 * 1024;

/// Encodes a message.
pub fn encode<Message>(message: &Message) -> thrift::Result<Vec<u8>>
where
    Message: TSerializable,
{
    let mut bytes = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut bytes);
    message.write_to_out_protocol(&mut protocol)?;
    Ok(bytes)
}

/// Decodes a message.
///
/// Generated readers allocate by the sizes they read, so a broken or hostile frame of a few bytes
/// could ask for gigabytes; the configuration bounds every size before the allocation.
pub fn decode<Message>(bytes: &[u8]) -> thrift::Result<Message>
where
    Message: TSerializable,
{
    let config = TConfiguration::builder()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .max_container_size(Some(MAX_CONTAINER_LEN))
        .max_string_size(Some(MAX_FRAME_BYTES))
        .build()?;
    let mut protocol = TCompactInputProtocol::with_config(bytes, config);
    Message::read_from_in_protocol(&mut protocol)
}
