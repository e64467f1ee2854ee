//! State machines defined in YAML transition tables.
//!
//! A chart maps each state and event to the next state. States and events are enums of the crate
//! that owns the chart, so an unknown name is an error when the chart is opened, and a test can use
//! [`Chart::missing_transitions`] to check that every state handles every event.
//!
//! ```
//! use borageshore_chart::Chart;
//! use serde::Deserialize;
//!
//! #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
//! #[serde(rename_all = "snake_case")]
//! enum State { Off, On }
//! #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
//! #[serde(rename_all = "snake_case")]
//! enum Event { Press }
//!
//! let text = "initial: off\nstates: { off: { press: on }, on: { press: off } }";
//! let chart = Chart::<State, Event>::open(text).unwrap();
//! assert_eq!(chart.next(State::Off, Event::Press), State::On);
//! ```

use std::{collections::BTreeMap, fmt::Debug};

use serde::{Deserialize, de::DeserializeOwned};

#[derive(Debug, Deserialize)]
#[serde(
    deny_unknown_fields,
    bound = "State: DeserializeOwned + Ord, Event: DeserializeOwned + Ord"
)]
struct ChartFile<State, Event> {
    initial: State,
    states: BTreeMap<State, BTreeMap<Event, State>>,
}

/// A parsed transition table.
#[derive(Debug)]
pub struct Chart<State, Event> {
    initial: State,
    /// Sorted by state and event.
    transitions: Vec<((State, Event), State)>,
}

impl<State, Event> Chart<State, Event>
where
    State: Debug + Copy + Ord + DeserializeOwned,
    Event: Debug + Copy + Ord + DeserializeOwned,
{
    /// Parses a chart; the error names the line of the text.
    pub fn open(text: &str) -> Result<Self, String> {
        let file: ChartFile<State, Event> =
            serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
        let mut transitions = Vec::new();
        for (state, events) in file.states {
            for (event, target) in events {
                transitions.push(((state, event), target));
            }
        }
        Ok(Self {
            initial: file.initial,
            transitions,
        })
    }

    /// Returns the initial state.
    pub fn initial(&self) -> State {
        self.initial
    }

    /// Returns the state after `event`, which is `state` if the chart has no such transition.
    pub fn next(&self, state: State, event: Event) -> State {
        match self
            .transitions
            .binary_search_by_key(&(state, event), |(from, _)| *from)
        {
            Ok(at) => self.transitions[at].1,
            Err(_) => state,
        }
    }

    /// Returns the pairs of state and event without a transition.
    pub fn missing_transitions(&self, states: &[State], events: &[Event]) -> Vec<(State, Event)> {
        let mut missing = Vec::new();
        for state in states {
            for event in events {
                if self
                    .transitions
                    .binary_search_by_key(&(*state, *event), |(from, _)| *from)
                    .is_err()
                {
                    missing.push((*state, *event));
                }
            }
        }
        missing
    }
}
