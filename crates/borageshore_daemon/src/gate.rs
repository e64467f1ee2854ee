//! Waiting for a slot of a service.

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

/// The admission of one service with the tasks that wait in it.
#[derive(Debug)]
pub(crate) struct Gate {
    admission: RefCell<Admission>,
    waiters: RefCell<SortedMap<TicketId, oneshot::Sender<()>>>,
    next_id: Cell<TicketId>,
}

/// What a request brings to a gate.
#[derive(Debug, Clone)]
pub(crate) struct GateRequest {
    pub(crate) node: Arc<str>,
    pub(crate) importance: u64,
    pub(crate) workload: Workload,
    pub(crate) deadline_ms: u64,
}

/// A slot, given back when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    gate: Rc<Gate>,
    daemon: Rc<Daemon>,
    workload: Workload,
    started_at_ms: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let service_ms = self.daemon.now_ms().saturating_sub(self.started_at_ms);
        self.gate
            .admission
            .borrow_mut()
            .finish(self.workload, service_ms);
        self.gate.start_waiting();
    }
}

/// A refusal by a gate: nothing was run.
#[derive(Debug, Clone)]
pub(crate) struct GateRefusal {
    pub(crate) fault: Fault,
    /// When to come back.
    pub(crate) retry_after_ms: u64,
}

impl Gate {
    /// Opens a gate.
    pub(crate) fn open(limits: AdmissionLimits) -> Rc<Self> {
        Rc::new(Self {
            admission: RefCell::new(Admission::open(limits)),
            waiters: RefCell::default(),
            next_id: Cell::new(1),
        })
    }

    /// Follows a change of limits.
    pub(crate) fn set_limits(&self, limits: AdmissionLimits) {
        self.admission.borrow_mut().set_limits(limits);
        self.start_waiting();
    }

    /// Waits for a slot; a refusal comes as soon as it is certain.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        daemon: &Rc<Daemon>,
        request: GateRequest,
    ) -> Result<Slot, GateRefusal> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let GateRequest {
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
            AdmissionDecision::Refused { retry_after_ms } => Err(GateRefusal {
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
    ) -> Result<Slot, GateRefusal> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        let mut queued = QueuedRequest {
            gate: self.clone(),
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
        Err(GateRefusal {
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
            gate: self.clone(),
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

/// A place in the queue, left when dropped.
///
/// Guards against a slot that is lost for ever: the caller goes away, or the deadline comes, after
/// the gate handed out the slot and before this task ran again. The slot then lies in the channel,
/// and the drop gives it back.
#[derive(Debug)]
struct QueuedRequest {
    gate: Rc<Gate>,
    id: TicketId,
    workload: Workload,
    receiver: Option<oneshot::Receiver<()>>,
}

impl QueuedRequest {
    async fn wait(&mut self) -> QueueWait {
        let receiver = self
            .receiver
            .as_mut()
            .expect("taken only after the turn came");
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
        self.gate.leave_queue(self.id);
        if receiver.try_recv().is_ok() {
            self.gate.admission.borrow_mut().finish(self.workload, 0);
            self.gate.start_waiting();
        }
    }
}
