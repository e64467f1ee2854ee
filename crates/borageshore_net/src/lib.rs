//! Networking: the event loop, an HTTP client and server on `hyper`, and frames between peers.
//!
//! ```
//! let sum = borageshore_net::run_event_loop(async { 1 + 1 });
//! assert_eq!(sum, 2);
//! ```

mod allocator;
mod client;
mod event_loop;
mod frame;
mod hedge;
mod memory;
mod metered;
mod response_memory;
mod server;

pub use self::{
    allocator::return_large_buffers,
    client::{CallError, Connection, HttpClient, Timeouts, response_body_error, response_error},
    event_loop::{Clock, Deadline, ReceivePace, boot_time_ms, run_event_loop, sleep_ms, within_ms},
    frame::{FrameError, read_frame, write_frame},
    hedge::hedged,
    memory::{HeldBody, HeldBodyError, MemoryBudget, MemoryLimits, discard_body, read_body_while},
    metered::ReceivedBody,
    response_memory::ResponseMemory,
    server::{
        BodyError, EdgeBody, EdgeRequest, EdgeResponse, Handler, HttpServer, ServerLimits,
        StreamBodyError, bind_listener, empty_body, full_body, json_response, read_body,
        stream_body,
    },
};
