//! How the memory limit of a process is divided between the program, its client connections, and the bodies and
//! answers that are buffered.

/// The program with its lists and tables.
const PROGRAM_BYTES: usize = 10 << 20;
/// The part of the rest that is not planned, in percent: freed memory that the allocator keeps.
const ALLOCATOR_PERCENT: usize = 28;
/// The part of the rest that client connections may take, in percent.
const CLIENTS_PERCENT: usize = 55;
/// The first bytes of a client's body. They are not charged to the [`ByteBudget`](crate::budget::ByteBudget).
pub const CLIENT_BODY_BYTES: usize = 4 << 10;
/// The task and the parsed head of a client connection.
const CLIENT_TASK_BYTES: usize = 8 << 10;
const CLIENT_STATE_BYTES: usize = CLIENT_TASK_BYTES + CLIENT_BODY_BYTES;
/// Buffers that a client connection fills: bytes that are read ahead, and a piece that waits for memory, for its server
/// or for its client.
const BUFFERS_PER_CLIENT: usize = 2;
/// The smallest buffer that hyper accepts, and one that is larger than usual heads.
const MIN_CLIENT_BUFFER_BYTES: usize = 8 << 10;
const MAX_CLIENT_BUFFER_BYTES: usize = 32 << 10;
/// The largest read from a server. It is larger than an ordinary answer, so that one read is enough.
pub const MAX_SERVER_READ_BYTES: usize = 16 << 10;
/// The part of a client's buffer that is read from a server at once, as a divisor: pieces of an answer wait at several
/// places on their way to the client.
const SERVER_READ_DIVISOR: usize = 2;
/// The most of the limit that buffered bodies and answers may take, in percent.
const MAX_BUFFERED_PERCENT: usize = 40;

/// The parts of a memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The most client connections.
    pub max_clients: usize,
    /// Bytes that are read ahead from a client, and bytes of its answer that wait to be written.
    pub client_buffer_bytes: usize,
    /// Bytes that are read from a server at once.
    pub server_read_bytes: usize,
    /// Bytes of buffered bodies and answers.
    pub buffered_bytes: usize,
}

impl MemoryPlan {
    /// Divides `limit` bytes, for a process that has descriptors for `wanted_clients` client connections.
    pub fn new(limit: usize, wanted_clients: usize) -> MemoryPlan {
        let available = limit.saturating_sub(PROGRAM_BYTES).max(limit / 2);
        let for_clients = available / 100 * CLIENTS_PERCENT;
        let per_client = (for_clients / wanted_clients.max(1)).saturating_sub(CLIENT_STATE_BYTES);
        let client_buffer_bytes = (per_client / BUFFERS_PER_CLIENT)
            .clamp(MIN_CLIENT_BUFFER_BYTES, MAX_CLIENT_BUFFER_BYTES);
        let client_bytes = CLIENT_STATE_BYTES + BUFFERS_PER_CLIENT * client_buffer_bytes;
        let max_clients = wanted_clients.min(for_clients / client_bytes).max(1);
        let planned = max_clients * client_bytes + available / 100 * ALLOCATOR_PERCENT;
        MemoryPlan {
            max_clients,
            client_buffer_bytes,
            server_read_bytes: (client_buffer_bytes / SERVER_READ_DIVISOR)
                .min(MAX_SERVER_READ_BYTES),
            buffered_bytes: available
                .saturating_sub(planned)
                .min(limit / 100 * MAX_BUFFERED_PERCENT),
        }
    }
}
