//! Pause between two reads of the member records.

use std::time::Duration;

/// Reads of member records that all nodes together make in a second at most, as long as
/// [`MAX_READ_PAUSE`] allows: a twentieth of the reads that the smallest store takes.
const MAX_READS_PER_SECOND: u32 = 100;
/// Shortest pause, which batches the records of nodes that start together.
const MIN_READ_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause. A change must be known everywhere well within the two seconds for which an address
/// that was given up stays unused.
const MAX_READ_PAUSE: Duration = Duration::from_secs(1);

/// Returns the pause after a read that returned records, during which further ones accumulate.
///
/// Each record ends the waiting reads of all nodes. Without a pause that grows with the number of
/// members, the reads grow with its square while members start, stop or move. A record that comes
/// after a quiet time is read at once in any case.
pub fn read_pause(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let pause = Duration::from_secs(1).saturating_mul(members) / MAX_READS_PER_SECOND;
    pause.clamp(MIN_READ_PAUSE, MAX_READ_PAUSE)
}
