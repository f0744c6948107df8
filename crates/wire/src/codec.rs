//! The two encodings of messages: MessagePack and JSON.

use pimentovalve_core::finding::List;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message as MessagePack. Structs are encoded as arrays without field names, which
/// halves the size. A newer release may therefore only append fields, with a default for messages
/// from an older one.
///
/// # Errors
///
/// Returns a finding when the message cannot be encoded, which is a defect of its type.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>, List> {
    rmp_serde::to_vec(message).map_err(|e| List::one("body", e.to_string()))
}

/// Decodes a MessagePack message.
///
/// # Errors
///
/// Returns a finding when the bytes are not a valid message of the type.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, List> {
    rmp_serde::from_slice(bytes).map_err(|e| List::one("body", e.to_string()))
}

/// Encodes a message as JSON.
///
/// # Errors
///
/// Returns a finding when the message cannot be encoded, which is a defect of its type.
pub fn to_json<T: Serialize>(message: &T) -> Result<Vec<u8>, List> {
    serde_json::to_vec(message).map_err(|e| List::one("body", e.to_string()))
}

/// Decodes a JSON message.
///
/// # Errors
///
/// Returns a finding with line and column when the bytes are not a valid message of the type.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, List> {
    serde_json::from_slice(bytes).map_err(|e| List::one("body", e.to_string()))
}
