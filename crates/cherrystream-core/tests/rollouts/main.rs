//! Roll-outs: start requests and steps in the replicated state, evaluation of a canary, and
//! simulated roll-outs without a network.

mod evaluation;
mod plays;
mod state;
mod world;
