//! Mutual exclusion of holders that are paused, partitioned or restarted.

use std::sync::Arc;

use borageshore_duty::{DutyLeases, DutyTiming, choose_holder};

const TIMING: DutyTiming = DutyTiming {
    lease_ms: 3_000,
    send_window_ms: 500,
    margin_ms: 300,
};
/// The longest time until an appended record is read by another daemon.
const READ_WITHIN_MS: u64 = 200;
const SUBJECT: &str = "usage";

fn names(all: &[&str]) -> Vec<Arc<str>> {
    all.iter().map(|name| (*name).into()).collect()
}

/// The leases of a daemon that has loaded no announcement at `now_ms`.
fn leases_at(now_ms: u64) -> DutyLeases {
    let mut leases = DutyLeases::open(TIMING.takeover_delay_ms());
    leases.on_loaded(now_ms);
    leases
}

/// An announcement in the log; all are stored under one key, so that a load returns only the newest.
struct Announced {
    holder: Arc<str>,
    subject: Arc<str>,
    others: Vec<Arc<str>>,
    at_ms: u64,
}

struct Daemon {
    leases: DutyLeases,
    /// How many announcements are read; `None` before the load.
    read: Option<usize>,
}

impl Daemon {
    fn started() -> Self {
        Self {
            leases: DutyLeases::open(TIMING.takeover_delay_ms()),
            read: None,
        }
    }

    fn load(&mut self, log: &[Announced], now_ms: u64) {
        if let Some(newest) = log.last() {
            self.apply(newest, now_ms);
        }
        self.leases.on_loaded(now_ms);
        self.read = Some(log.len());
    }

    fn follow(&mut self, unread: &[Announced], now_ms: u64) {
        for announced in unread {
            self.apply(announced, (announced.at_ms + READ_WITHIN_MS).min(now_ms));
        }
        self.read = self.read.map(|read| read + unread.len());
    }

    fn apply(&mut self, announced: &Announced, seen_at_ms: u64) {
        let subjects = [announced.subject.clone()];
        self.leases
            .on_announcement(&announced.holder, &subjects, &announced.others, seen_at_ms);
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against a late call of the old holder: it is paused between its announcement and its call, for longer than
    // a takeover takes, and the platform receives its report after its successor's.
    a_holder_paused_after_its_announcement_sends_nothing => {
        let window = TIMING.send_window(10_000);
        assert!(window.is_open(10_500));
        assert!(!window.is_open(10_501));
        let mut successor = leases_at(0);
        successor.on_announcement(&"vm-1".into(), &names(&[SUBJECT]), &[], 10_000);
        let takes_over_ms = (10_000..).find(|now_ms| successor.may_act("vm-2", SUBJECT, *now_ms)).unwrap();
        assert!(!window.is_open(takes_over_ms), "both act");
        assert!(takes_over_ms >= 10_500 + TIMING.lease_ms, "within the lease");
    }

    // Guards against two holders that act within one lease: vm-1 loses the store but not the platform, vm-2 takes over,
    // and vm-1 has to wait after it has read of the takeover.
    a_holder_that_comes_back_waits_for_its_successor => {
        let mut first = leases_at(0);
        first.on_announcement(&"vm-1".into(), &names(&[SUBJECT]), &[], 10_000);
        first.on_announcement(&"vm-2".into(), &names(&[SUBJECT]), &[], 14_000);
        assert!(!first.may_act("vm-1", SUBJECT, 17_799));
        assert!(first.may_act("vm-1", SUBJECT, 17_800));
    }

    // Guards against two daemons that start at the same time and both act on a duty before they know of announcements.
    daemons_that_just_started_wait_for_announcements_they_may_have_missed => {
        let leases = leases_at(10_000);
        for name in ["vm-1", "vm-2"] {
            assert!(!leases.may_act(name, SUBJECT, 13_799));
            assert!(leases.may_act(name, SUBJECT, 13_800));
        }
    }

    // Guards against a new holder that announces one subject and then ignores the leases on the others.
    other_subjects_keep_their_leases => {
        let mut leases = leases_at(0);
        leases.on_announcement(&"vm-1".into(), &names(&["e0"]), &[], 10_000);
        let others = leases.held_by_others("vm-2", 10_100);
        leases.on_announcement(&"vm-2".into(), &names(&[SUBJECT]), &others, 10_100);
        assert!(!leases.may_act("vm-2", "e0", 13_000));
        let mut restarted = DutyLeases::open(TIMING.takeover_delay_ms());
        restarted.on_announcement(&"vm-2".into(), &names(&[SUBJECT]), &others, 10_300);
        restarted.on_loaded(10_300);
        assert!(!restarted.may_act("vm-2", "e0", 13_000));
        assert!(restarted.may_act("vm-2", SUBJECT, 10_301));
    }

    the_last_holder_goes_on_while_it_takes_work => {
        let (all, some) = (names(&["vm-1", "vm-2", "vm-3"]), names(&["vm-1", "vm-3"]));
        let last: Arc<str> = "vm-2".into();
        assert_eq!(choose_holder("duties", Some(&last), &all), Some("vm-2"));
        let next = choose_holder("duties", Some(&last), &some);
        assert!(next.is_some_and(|next| next != "vm-2"));
        assert_eq!(next, choose_holder("duties", None, &some), "all agree on the successor");
        assert_eq!(choose_holder("duties", None, &[]), None);
    }

    // Guards against two holders within one lease: vm-1 restarts behind a cut, and by the time it loads the announcements
    // vm-2 has replaced the one of its last action.
    a_daemon_that_loads_long_after_its_start_waits_from_the_load => {
        let mut leases = DutyLeases::open(TIMING.takeover_delay_ms());
        assert!(!leases.may_act("vm-1", SUBJECT, 60_000), "nothing is loaded");
        leases.on_announcement(&"vm-2".into(), &[], &[], 60_000);
        leases.on_loaded(60_000);
        assert!(!leases.may_act("vm-1", SUBJECT, 63_799));
        assert!(leases.may_act("vm-1", SUBJECT, 63_800));
        assert!(leases.may_act("vm-2", SUBJECT, 60_000), "it restarted itself");
    }

    // Guards against a daemon that announces an action on one subject right after its load, which lists no other holder's
    // lease on subjects that it does not know, and then counts as the one that knows all leases.
    an_announcement_does_not_reveal_what_the_load_missed => {
        let mut leases = DutyLeases::open(TIMING.takeover_delay_ms());
        leases.on_announcement(&"vm-1".into(), &names(&[SUBJECT]), &[], 10_000);
        leases.on_announcement(&"vm-2".into(), &[], &[], 10_000);
        leases.on_loaded(10_000);
        assert!(!leases.may_act("vm-1", SUBJECT, 10_100));
        leases.on_announcement(&"vm-1".into(), &names(&[SUBJECT]), &[], 10_100);
        assert!(!leases.may_act("vm-1", "e0", 13_799));
        assert!(leases.may_act("vm-1", "e0", 13_800));
    }

    // Guards against a holder that forgets after its restart what another one holds: that one announces another action, and
    // its list names only what others than itself hold.
    a_later_announcement_does_not_replace_what_the_loaded_one_lists => {
        let mut leases = DutyLeases::open(TIMING.takeover_delay_ms());
        leases.on_announcement(&"vm-0".into(), &names(&[SUBJECT]), &names(&["e1"]), 12_564);
        leases.on_loaded(12_564);
        leases.on_announcement(&"vm-2".into(), &names(&["e0"]), &names(&[SUBJECT]), 12_830);
        assert!(!leases.may_act("vm-0", "e1", 12_830), "vm-2 holds it");
        assert_eq!(leases.held_by_others("vm-0", 12_830), names(&["e0", "e1"]));
        assert!(leases.may_act("vm-0", "e1", 16_364));
    }

    // Daemons announce, pause, restart, load late and send late, in any order: a subject never receives a lower epoch
    // after a higher one, nor calls of two holders within the lease.
    no_order_of_events_breaks_the_lease => {
        bolero::check!().with_type::<Vec<(u8, u8, u16)>>().for_each(|events| {
            let subjects = names(&["usage", "e0", "e1"]);
            let mut log: Vec<Announced> = Vec::new();
            let mut daemons: Vec<Daemon> = (0..3).map(|_| Daemon::started()).collect();
            daemons.iter_mut().for_each(|daemon| daemon.load(&log, 0));
            let mut sent: Vec<(u64, u64, Arc<str>, Arc<str>)> = Vec::new();
            let mut now_ms = 10_000;
            for (what, which, pause_ms) in events {
                now_ms += u64::from(*pause_ms) % 1_500;
                let number = usize::from(*what) % 3;
                let name: Arc<str> = format!("vm-{number}").into();
                let daemon = &mut daemons[number];
                if what & 0x80 != 0 {
                    *daemon = Daemon::started();
                }
                // The append's condition fails while the newest record may be unread.
                let is_current = log.last().is_none_or(|last| last.at_ms + READ_WITHIN_MS <= now_ms);
                if !is_current {
                    continue;
                }
                match daemon.read {
                    None => daemon.load(&log, now_ms),
                    Some(read) => daemon.follow(&log[read..], now_ms),
                }
                let subject = &subjects[usize::from(*which) % 3];
                if daemon.leases.may_act(&name, subject, now_ms) {
                    let others = daemon.leases.held_by_others(&name, now_ms);
                    log.push(Announced { holder: name.clone(), subject: subject.clone(), others, at_ms: now_ms });
                    let send_at_ms = now_ms + u64::from(*what & 0x3f) * 20;
                    if TIMING.send_window(now_ms).is_open(send_at_ms) {
                        sent.push((send_at_ms, log.len() as u64, name, subject.clone()));
                    }
                }
            }
            for subject in &subjects {
                let mut calls: Vec<_> = sent.iter().filter(|(.., called)| called == subject).collect();
                calls.sort();
                for pair in calls.windows(2) {
                    let ((first_ms, first, one, _), (second_ms, second, other, _)) = (pair[0], pair[1]);
                    // Calls of one holder are sequential.
                    assert!(one == other || (first < second && first_ms + TIMING.lease_ms <= *second_ms));
                }
            }
        });
    }
}
