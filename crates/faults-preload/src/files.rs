//! Calls about files: open, pwrite, fsync, fdatasync, rename, ftruncate. To be filled.
