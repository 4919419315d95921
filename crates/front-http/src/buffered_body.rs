//! Reads request bodies that are buffered as a whole.

use applemill_flow::{BodyReservation, Memory};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why a body could not be read.
pub(crate) enum BodyError {
    OutOfMemory,
    ReadFailed,
}

/// Reads a complete body; hyper ends it at its declared length. Memory is reserved for received bytes only: a
/// body that is announced and held back takes none from others.
pub(crate) async fn read_body(
    mut body: Incoming,
    memory: &Memory,
) -> Result<(Bytes, Option<BodyReservation>), BodyError> {
    let mut received = BytesMut::new();
    let mut reservation: Option<BodyReservation> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::ReadFailed)?.into_data() else { continue };
        match &mut reservation {
            Some(reservation) => reservation.grow(data.len()).map_err(|_| BodyError::OutOfMemory)?,
            None => {
                reservation = Some(memory.reserve_body(data.len()).map_err(|_| BodyError::OutOfMemory)?)
            }
        }
        received.extend_from_slice(&data);
    }
    Ok((received.freeze(), reservation))
}
