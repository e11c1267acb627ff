//! Calls about files: open, pwrite, fsync, fdatasync, rename, ftruncate. (`write` is among the streams.)

use crate::engine::{guarded, Subject};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_char, c_int, c_uint, c_void, off64_t, off_t, size_t, ssize_t};
use std::ffi::CStr;

/// The path that a caller gives.
///
/// # Safety
/// It is null, or ends with a zero byte and lives as long as the subject.
unsafe fn named<'a>(path: *const c_char) -> Subject<'a> {
    if path.is_null() {
        return Subject::Nothing;
    }
    // SAFETY: as the caller promises.
    Subject::Path(unsafe { CStr::from_ptr(path) })
}

// `open` and its kin take their mode as a variable argument, which callers leave out where no file is made. It comes in the
// same place as a fixed one would, and is then handed on unread, whatever it is.
interpose! {
    fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int as next {
        // SAFETY: the arguments are handed on as they came; so in each function below.
        unsafe { guarded(Call::Open, named(path), |_| next(path, flags, mode)) }
    }

    fn open(path: *const c_char, flags: c_int, mode: c_uint) -> c_int as next {
        unsafe { guarded(Call::Open, named(path), |_| next(path, flags, mode)) }
    }

    fn openat(folder: c_int, path: *const c_char, flags: c_int, mode: c_uint) -> c_int as next {
        unsafe { guarded(Call::Open, named(path), |_| next(folder, path, flags, mode)) }
    }

    fn openat64(folder: c_int, path: *const c_char, flags: c_int, mode: c_uint) -> c_int as next {
        unsafe { guarded(Call::Open, named(path), |_| next(folder, path, flags, mode)) }
    }

    fn pwrite(fd: c_int, bytes: *const c_void, length: size_t, at: off_t) -> ssize_t as next {
        guarded(Call::Pwrite, Subject::Descriptor(fd), |v| unsafe { next(fd, bytes, v.bytes(length), at) })
    }

    fn pwrite64(fd: c_int, bytes: *const c_void, length: size_t, at: off64_t) -> ssize_t as next {
        guarded(Call::Pwrite, Subject::Descriptor(fd), |v| unsafe { next(fd, bytes, v.bytes(length), at) })
    }

    fn fsync(fd: c_int) -> c_int as next {
        guarded(Call::Fsync, Subject::Descriptor(fd), |_| unsafe { next(fd) })
    }

    fn fdatasync(fd: c_int) -> c_int as next {
        guarded(Call::Fdatasync, Subject::Descriptor(fd), |_| unsafe { next(fd) })
    }

    fn rename(from: *const c_char, to: *const c_char) -> c_int as next {
        unsafe { guarded(Call::Rename, named(to), |_| next(from, to)) }
    }

    fn ftruncate(fd: c_int, length: off_t) -> c_int as next {
        guarded(Call::Ftruncate, Subject::Descriptor(fd), |_| unsafe { next(fd, length) })
    }

    fn ftruncate64(fd: c_int, length: off64_t) -> c_int as next {
        guarded(Call::Ftruncate, Subject::Descriptor(fd), |_| unsafe { next(fd, length) })
    }
}
