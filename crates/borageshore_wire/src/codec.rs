//! Encoding and decoding in the compact protocol, with limits on the memory that a peer's message may allocate.

use thrift::{
    TConfiguration,
    protocol::{TCompactInputProtocol, TCompactOutputProtocol, TSerializable},
};

/// The largest frame accepted from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// The longest collection in a frame, in elements.
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
/// Generated code allocates the sizes that a message states, so a corrupt or malicious frame of a few bytes
/// could allocate gigabytes; the configuration checks every size before the allocation.
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
