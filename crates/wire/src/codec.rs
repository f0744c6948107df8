//! The two codecs: MessagePack between processes, JSON for callers and operators.

use pimentovalve_core::finding::List;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message as MessagePack. Fields stand in their order without names, which halves the
/// bytes; a newer release may only append fields, with a default for what an older end leaves out.
///
/// # Errors
///
/// Returns a finding when the message can't be expressed, which is a defect of its type.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>, List> {
    rmp_serde::to_vec(message).map_err(|e| List::one("body", e.to_string()))
}

/// Decodes a MessagePack message.
///
/// # Errors
///
/// Returns a finding when the bytes are not such a message.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, List> {
    rmp_serde::from_slice(bytes).map_err(|e| List::one("body", e.to_string()))
}

/// Encodes a message as JSON.
///
/// # Errors
///
/// Returns a finding when the message can't be expressed, which is a defect of its type.
pub fn to_json<T: Serialize>(message: &T) -> Result<Vec<u8>, List> {
    serde_json::to_vec(message).map_err(|e| List::one("body", e.to_string()))
}

/// Decodes a JSON message.
///
/// # Errors
///
/// Returns a finding with line and column when the bytes are not such a message.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, List> {
    serde_json::from_slice(bytes).map_err(|e| List::one("body", e.to_string()))
}
