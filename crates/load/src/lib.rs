//! Open-loop load: a schedule made ahead from a plan and its seed, a driver that no answer slows, latencies from the intended time
//! of sending, tables and charts; and a stand-in for workers and their list. `rainlug-load` is the program over it, and
//! `rainlug-rig` plays it beside faults.

pub mod connector;
pub mod driver;
pub mod experiment;
pub mod plan;
pub mod record;
pub mod report;
pub mod schedule;
pub mod stub;
