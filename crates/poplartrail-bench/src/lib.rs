//! Virtual-time measurements of the decisions.
