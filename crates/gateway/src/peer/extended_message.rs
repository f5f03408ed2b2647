use rmp_serde::decode::Error as DecodeError;
use rmp_serde::encode::Error as EncodeError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Message to peers with parts that nodes of earlier builds don't know.
///
/// A message lists its fields by position, and a reader refuses one with more fields than it knows.
/// So further parts follow the message as a second value, which lists its fields by name: earlier
/// builds read the message and ignore what follows, and a reader ignores names that it doesn't
/// know.
pub trait ExtendedMessage: Serialize + DeserializeOwned {
    /// The further parts.
    type Extension: Serialize + DeserializeOwned + Default + PartialEq;

    /// Takes the further parts, of which none are left in the message.
    fn take_extension(&mut self) -> Self::Extension;

    /// Adds the further parts to a message that was read.
    fn extend(&mut self, extension: Self::Extension);
}

/// Encodes a message, followed by its extension unless that is empty.
///
/// # Errors
/// If a value can't be encoded.
pub fn encode_extended<M: ExtendedMessage>(mut message: M) -> Result<Vec<u8>, EncodeError> {
    let extension = message.take_extension();
    let mut bytes = rmp_serde::to_vec(&message)?;
    if extension != M::Extension::default() {
        bytes.extend(rmp_serde::to_vec_named(&extension)?);
    }
    Ok(bytes)
}

/// Decodes a message and its extension, if one follows.
///
/// # Errors
/// If the message or its extension can't be decoded.
pub fn decode_extended<M: ExtendedMessage>(bytes: &[u8]) -> Result<M, DecodeError> {
    let mut rest = bytes;
    let mut message: M = rmp_serde::from_read(&mut rest)?;
    if !rest.is_empty() {
        message.extend(rmp_serde::from_slice(rest)?);
    }
    Ok(message)
}
