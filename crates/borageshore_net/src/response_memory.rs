//! The memory for response bodies while they are read.

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::{
    client::{CallError, response_error},
    event_loop::within_ms,
    metered::ReceivedBody,
};

/// The share of the process's memory for the bodies that are read at the same time, in percent. A buffer that grows
/// takes up to twice its content, and callers hold as much again.
const BODIES_PERCENT: u64 = 15;
/// Bodies up to this size are always read.
const SMALL_BODY_BYTES: u64 = 16 * 1024;

/// The memory for response bodies while they are read, shared by the calls of a client.
///
/// A body may take as much as it leaves free, so that none takes all of it, and small bodies are always read. One that asks
/// for more is given up.
#[derive(Debug, Clone)]
pub struct ResponseMemory {
    limit_bytes: u64,
    held_bytes: Rc<Cell<u64>>,
}

impl ResponseMemory {
    /// The memory for bodies of a process that may use `memory_mb`; without it, there is no limit.
    pub fn of_process(memory_mb: Option<u64>) -> Self {
        let limit_bytes = |memory_mb: u64| memory_mb * 1024 * 1024 / 100 * BODIES_PERCENT;
        Self::within(memory_mb.map_or(u64::MAX, limit_bytes))
    }

    /// Memory of a size.
    pub fn within(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            held_bytes: Rc::default(),
        }
    }

    /// The bytes that are held now.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.get()
    }

    /// Reads a body of at most `max_bytes`, within a time in all.
    pub(crate) async fn read_body(
        &self,
        body: ReceivedBody,
        max_bytes: usize,
        timeout_ms: u64,
    ) -> Result<Bytes, CallError> {
        let read = within_ms(timeout_ms, self.read(body, max_bytes)).await;
        read.unwrap_or_else(|| Err(CallError::NoResponse("the body took too long".into())))
    }

    async fn read(&self, mut body: ReceivedBody, max_bytes: usize) -> Result<Bytes, CallError> {
        let mut hold = ResponseHold {
            memory: self,
            bytes: 0,
        };
        let stated_bytes = body.size_hint().lower();
        hold.check(stated_bytes, max_bytes)?;
        // Pages of the buffer take memory once they are written to.
        let mut bytes = BytesMut::with_capacity(stated_bytes as usize);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| response_error(&error))?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            let total_bytes = (bytes.len() + chunk.len()) as u64;
            hold.check(total_bytes, max_bytes)?;
            hold.set(total_bytes);
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes.freeze())
    }
}

/// The bytes of one body that is being read.
#[derive(Debug)]
struct ResponseHold<'m> {
    memory: &'m ResponseMemory,
    bytes: u64,
}

impl ResponseHold<'_> {
    /// Checks that the body may have a total of `bytes`.
    fn check(&self, bytes: u64, max_bytes: usize) -> Result<(), CallError> {
        if bytes > max_bytes as u64 {
            let error = format!("the body exceeds {max_bytes} bytes");
            return Err(CallError::NoResponse(error));
        }
        let memory = self.memory;
        let others_bytes = memory.held_bytes.get() - self.bytes;
        let free_bytes = memory
            .limit_bytes
            .saturating_sub(others_bytes)
            .saturating_sub(bytes);
        if bytes > SMALL_BODY_BYTES && bytes > free_bytes {
            let error = format!("no memory for a body of {bytes} bytes beside {others_bytes}");
            return Err(CallError::NoResponse(error));
        }
        Ok(())
    }

    fn set(&mut self, bytes: u64) {
        let held_bytes = self.memory.held_bytes.get() - self.bytes + bytes;
        self.memory.held_bytes.set(held_bytes);
        self.bytes = bytes;
    }
}

impl Drop for ResponseHold<'_> {
    fn drop(&mut self) {
        self.set(0);
    }
}
