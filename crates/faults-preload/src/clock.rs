//! Calls about time: `clock_gettime`. To be filled.
