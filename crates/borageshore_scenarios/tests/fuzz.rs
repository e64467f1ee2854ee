//! Stateful fuzzing: random steps of members, operators, callers, a trainer and log faults, with the
//! invariants checked after each step.
//!
//! CI runs a fixed count from the fixed seed of `.cargo/config.toml`; for a longer run see
//! `docs/operators/testing.md`.

use bolero::{TypeGenerator, check, produce};
use borageshore_scenarios::{PullReply, World};
use borageshore_settings::{Edit, SettingValue, SettingsChange};

const NAMES: [&str; 3] = ["a", "b", "c"];
const ITERATIONS: usize = 400;

/// One random step.
#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Tick(Who),
    Advance(#[generator(1_u16..3_000)] u16),
    Pause(Who),
    Resume(Who),
    Crash(Who),
    Start(Who),
    SetPartitioned {
        who: Who,
        is_partitioned: bool,
    },
    LoseAnswer,
    DelayAppend,
    DelayClaim,
    Release,
    Outage(bool),
    Set {
        who: Who,
        key: Key,
        value: u8,
    },
    SetWithRevision {
        who: Who,
        key: Key,
        value: u8,
        based_on: u8,
    },
    Snapshot(Who),
    Trim(u8),
    Call {
        who: Who,
        owner: Who,
        key: CallKey,
    },
    LoseRun,
    Generate(Who),
    Pull {
        who: Who,
        outcome: ReplyOutcome,
    },
    /// Generation and two pulls at the member that may act for the job, if there is one.
    TrainerRound,
    Publish,
    EngineSwaps,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Who(#[generator(0_usize..3)] usize);

impl Who {
    fn name(self) -> &'static str {
        NAMES[self.0]
    }
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Key {
    AddressCount,
    Importance,
    Parent,
}

/// A request key out of few values, so that keys repeat.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct CallKey {
    #[generator(1_u64..6)]
    incarnation: u64,
    #[generator(0_u64..4)]
    slot: u64,
    #[generator(0_u64..2)]
    number: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, TypeGenerator)]
enum ReplyOutcome {
    Received,
    Lost,
}

fn apply(world: &mut World, step: &Step) {
    match step {
        Step::Tick(who) => world.tick(who.name()),
        Step::Advance(duration_ms) => world.advance(u64::from(*duration_ms)),
        Step::Pause(who) => set_paused(world, *who, true),
        Step::Resume(who) => set_paused(world, *who, false),
        Step::Crash(who) => world.crash(who.name()),
        Step::Start(who) if !world.members.contains_key(who.name()) => world.start(who.name()),
        Step::Start(_) => {}
        Step::SetPartitioned {
            who,
            is_partitioned,
        } => {
            if let Some(member) = world.members.get_mut(who.name()) {
                member.is_partitioned = *is_partitioned;
            }
        }
        Step::LoseAnswer => world.log.lose_next_response = true,
        Step::DelayAppend => world.log.delay_next = Some(String::new()),
        Step::DelayClaim => world.log.delay_next = Some("claim".into()),
        Step::Release => {
            let now_ms = world.now_ms;
            world.log.release(now_ms);
        }
        Step::Outage(has_outage) => world.log.has_outage = *has_outage,
        Step::Set { who, key, value } => set(world, *who, *key, *value, None),
        Step::SetWithRevision {
            who,
            key,
            value,
            based_on,
        } => {
            set(world, *who, *key, *value, Some(u64::from(*based_on % 8)));
        }
        Step::Snapshot(who) => world.snapshot_settings(who.name()),
        Step::Trim(below_offset) => world.log.trim("settings", u64::from(*below_offset % 16)),
        Step::Call { who, owner, key } => {
            let CallKey {
                incarnation,
                slot,
                number,
            } = key;
            world.call(
                who.name(),
                &format!("{}.{incarnation}.{slot}.{number}", owner.name()),
            );
        }
        Step::TrainerRound => run_trainer_round(world),
        Step::LoseRun => world.lose_next_run = true,
        Step::Generate(who) => {
            world.generate(who.name());
        }
        Step::Pull { who, outcome } => pull(world, *who, *outcome),
        Step::Publish => world.target_version += 1,
        Step::EngineSwaps => world.engine_version = world.target_version,
    }
}

fn set_paused(world: &mut World, who: Who, is_paused: bool) {
    if let Some(member) = world.members.get_mut(who.name()) {
        member.is_paused = is_paused;
    }
}

fn set(world: &mut World, who: Who, key: Key, value: u8, based_on: Option<u64>) {
    let (node, key, value) = match key {
        Key::AddressCount => (
            "root",
            "address_count",
            SettingValue::Integer(u64::from(value % 20)),
        ),
        Key::Importance => ("x", "importance", SettingValue::Integer(u64::from(value))),
        Key::Parent => (
            "x",
            "parent",
            SettingValue::Text(if value < 200 { "root" } else { "x" }.into()),
        ),
    };
    let Some(edit) = world.edit(who.name(), node, key, Some(value)) else {
        return;
    };
    let edit = Edit {
        based_on: based_on.unwrap_or(edit.based_on),
        ..edit
    };
    let actor = who.name().into();
    world.propose(
        who.name(),
        SettingsChange {
            actor,
            reason: "fuzz".into(),
            edits: vec![edit],
        },
    );
}

fn pull(world: &mut World, who: Who, outcome: ReplyOutcome) {
    if let PullReply::Delivered(delivery) = world.pull(who.name())
        && outcome == ReplyOutcome::Received
    {
        world.accept(&delivery);
    }
}

fn run_trainer_round(world: &mut World) {
    let now_ms = world.now_ms;
    let holds = |name: &&&str| {
        let member = world.members.get(**name).filter(|member| !member.is_paused);
        member.is_some_and(|member| member.epoch("job/job", now_ms).is_some())
    };
    let Some(owner) = NAMES.iter().find(holds) else {
        return;
    };
    let owner = Who(NAMES.iter().position(|name| name == owner).unwrap_or(0));
    world.generate(owner.name());
    pull(world, owner, ReplyOutcome::Received);
    world.advance(300);
    pull(world, owner, ReplyOutcome::Received);
}

#[test]
fn promises_hold_under_random_faults() {
    let steps = produce::<Vec<Step>>().with().len(20_usize..300);
    let target = check!()
        .with_generator(steps)
        .with_iterations(ITERATIONS)
        .with_max_len(64 * 1024);
    target.for_each(|steps| {
        let mut world = World::open(&NAMES);
        world.settle();
        for step in steps {
            apply(&mut world, step);
            if let Err(broken) = world.check() {
                panic!("{broken:?} after {step:?}");
            }
        }
    });
}

/// Guards against steps without any effect, with which the fuzzer would pass trivially.
#[test]
fn steps_without_faults_make_progress() {
    let mut world = World::open(&NAMES);
    world.settle();
    let steps = [
        Step::Set {
            who: Who(1),
            key: Key::AddressCount,
            value: 7,
        },
        Step::Advance(1_000),
        Step::Generate(Who(0)),
        Step::Pull {
            who: Who(0),
            outcome: ReplyOutcome::Received,
        },
        Step::Advance(1_000),
        Step::Pull {
            who: Who(0),
            outcome: ReplyOutcome::Received,
        },
        Step::Call {
            who: Who(1),
            owner: Who(0),
            key: CallKey {
                incarnation: 1,
                slot: 0,
                number: 0,
            },
        },
    ];
    for step in &steps {
        apply(&mut world, step);
    }
    assert_eq!(world.oracle.delivered(), 4);
    assert_eq!(world.runs.values().sum::<u64>(), 1);
    let tree = world
        .members
        .get("c")
        .unwrap()
        .settings
        .follower
        .fold()
        .tree();
    assert_eq!(tree.integer("root", "address_count"), 7);
}
