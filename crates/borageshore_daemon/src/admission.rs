//! Admission of requests to a service: waiting for a free slot.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::{Fault, ResultCode, SortedMap};
use borageshore_net::within_ms;
use borageshore_routing::{
    Admission, AdmissionDecision, AdmissionLimits, Ticket, TicketId, Workload,
};
use tokio::sync::oneshot;

use crate::daemon::Daemon;

/// The admission state of one service and the tasks that wait for its slots.
#[derive(Debug)]
pub(crate) struct AdmissionQueue {
    admission: RefCell<Admission>,
    waiters: RefCell<SortedMap<TicketId, oneshot::Sender<()>>>,
    next_id: Cell<TicketId>,
}

/// A request for a slot.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionRequest {
    pub(crate) node: Arc<str>,
    pub(crate) importance: u64,
    pub(crate) workload: Workload,
    pub(crate) deadline_ms: u64,
}

/// An occupied slot; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot {
    queue: Rc<AdmissionQueue>,
    daemon: Rc<Daemon>,
    workload: Workload,
    started_at_ms: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let service_ms = self.daemon.now_ms().saturating_sub(self.started_at_ms);
        self.queue
            .admission
            .borrow_mut()
            .finish(self.workload, service_ms);
        self.queue.start_waiting();
    }
}

/// A rejected request for a slot; nothing was run.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionRefusal {
    pub(crate) fault: Fault,
    /// The time after which the caller may retry.
    pub(crate) retry_after_ms: u64,
}

impl AdmissionQueue {
    /// Creates a queue without running or waiting requests.
    pub(crate) fn open(limits: AdmissionLimits) -> Rc<Self> {
        Rc::new(Self {
            admission: RefCell::new(Admission::open(limits)),
            waiters: RefCell::default(),
            next_id: Cell::new(1),
        })
    }

    /// Replaces the limits and starts the waiting requests that now fit.
    pub(crate) fn set_limits(&self, limits: AdmissionLimits) {
        self.admission.borrow_mut().set_limits(limits);
        self.start_waiting();
    }

    /// Waits for a slot until the request's deadline; fails at once if its node's queue is full.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        daemon: &Rc<Daemon>,
        request: AdmissionRequest,
    ) -> Result<Slot, AdmissionRefusal> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let AdmissionRequest {
            node,
            importance,
            workload,
            deadline_ms,
        } = request;
        let ticket = Ticket {
            id,
            node: node.clone(),
            importance,
            workload,
            deadline_ms,
        };
        let admitted = self.admission.borrow_mut().offer(ticket);
        match admitted {
            AdmissionDecision::Start => Ok(self.slot(daemon, workload)),
            AdmissionDecision::Refused { retry_after_ms } => Err(AdmissionRefusal {
                fault: Fault::new(ResultCode::QueueFull, &*node),
                retry_after_ms,
            }),
            AdmissionDecision::Queued => {
                self.wait_in_queue(daemon, id, workload, node, deadline_ms)
                    .await
            }
        }
    }

    async fn wait_in_queue(
        self: &Rc<Self>,
        daemon: &Rc<Daemon>,
        id: TicketId,
        workload: Workload,
        node: Arc<str>,
        deadline_ms: u64,
    ) -> Result<Slot, AdmissionRefusal> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        let mut queued = QueuedRequest {
            queue: self.clone(),
            id,
            workload,
            receiver: Some(receiver),
        };
        let remaining_ms = deadline_ms.saturating_sub(daemon.now_ms());
        let started = within_ms(remaining_ms, queued.wait()).await;
        if started == Some(QueueWait::Started) {
            queued.receiver = None;
            return Ok(self.slot(daemon, workload));
        }
        let fault = Fault::new(ResultCode::DeadlineBeforeStart, &*node);
        Err(AdmissionRefusal {
            fault,
            retry_after_ms: remaining_ms,
        })
    }

    fn leave_queue(&self, id: TicketId) {
        self.waiters.borrow_mut().remove(&id);
        self.admission.borrow_mut().cancel(id);
    }

    fn slot(self: &Rc<Self>, daemon: &Rc<Daemon>, workload: Workload) -> Slot {
        let started_at_ms = daemon.now_ms();
        Slot {
            queue: self.clone(),
            daemon: daemon.clone(),
            workload,
            started_at_ms,
        }
    }

    fn start_waiting(&self) {
        loop {
            let Some(ticket) = self.admission.borrow_mut().start_next() else {
                return;
            };
            let waiter = self.waiters.borrow_mut().remove(&ticket.id);
            let delivered = waiter.is_some_and(|waiter| waiter.send(()).is_ok());
            if !delivered {
                self.admission.borrow_mut().finish(ticket.workload, 0);
            }
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
enum QueueWait {
    Started,
    Closed,
}

/// A request in the queue; dropping it removes the request.
///
/// Guards against a leaked slot: if the caller disconnects or the deadline passes after the queue
/// granted the slot and before this task runs again, the grant is still in the channel, and `drop`
/// frees the slot.
#[derive(Debug)]
struct QueuedRequest {
    queue: Rc<AdmissionQueue>,
    id: TicketId,
    workload: Workload,
    receiver: Option<oneshot::Receiver<()>>,
}

impl QueuedRequest {
    async fn wait(&mut self) -> QueueWait {
        let receiver = self
            .receiver
            .as_mut()
            .expect("the receiver is taken only after the wait");
        match receiver.await {
            Ok(()) => QueueWait::Started,
            Err(_) => QueueWait::Closed,
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        self.queue.leave_queue(self.id);
        if receiver.try_recv().is_ok() {
            self.queue.admission.borrow_mut().finish(self.workload, 0);
            self.queue.start_waiting();
        }
    }
}
