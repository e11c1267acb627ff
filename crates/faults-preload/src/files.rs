//! Functions on files: open, pwrite, fsync, fdatasync, rename, ftruncate. (`write` is in `streams`.)

use crate::engine::{with_faults, Subject};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_char, c_int, c_uint, c_void, off64_t, off_t, size_t, ssize_t};
use std::ffi::CStr;

/// Returns the subject for a caller's path.
///
/// # Safety
/// `path` must be null, or be terminated by a zero byte and outlive the subject.
unsafe fn path_subject<'a>(path: *const c_char) -> Subject<'a> {
    if path.is_null() {
        return Subject::Nothing;
    }
    // SAFETY: the path is not null, so the caller guarantees a terminated string.
    Subject::Path(unsafe { CStr::from_ptr(path) })
}

// `open` and its variants take the mode as a variadic argument, which callers omit if no file is created. It
// is passed in the same place as a fixed argument would be; if omitted, its undefined value is passed on
// without being read.
interpose! {
    fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int as next {
        // SAFETY: the caller's arguments are passed on unchanged; the same holds in each function below.
        unsafe { with_faults(Call::Open, path_subject(path), |_| next(path, flags, mode)) }
    }

    fn open(path: *const c_char, flags: c_int, mode: c_uint) -> c_int as next {
        unsafe { with_faults(Call::Open, path_subject(path), |_| next(path, flags, mode)) }
    }

    fn openat(folder: c_int, path: *const c_char, flags: c_int, mode: c_uint) -> c_int as next {
        unsafe { with_faults(Call::Open, path_subject(path), |_| next(folder, path, flags, mode)) }
    }

    fn openat64(folder: c_int, path: *const c_char, flags: c_int, mode: c_uint) -> c_int as next {
        unsafe { with_faults(Call::Open, path_subject(path), |_| next(folder, path, flags, mode)) }
    }

    fn pwrite(fd: c_int, bytes: *const c_void, length: size_t, offset: off_t) -> ssize_t as next {
        with_faults(Call::Pwrite, Subject::Descriptor(fd), |v| unsafe {
            next(fd, bytes, v.bytes(length), offset)
        })
    }

    fn pwrite64(fd: c_int, bytes: *const c_void, length: size_t, offset: off64_t) -> ssize_t as next {
        with_faults(Call::Pwrite, Subject::Descriptor(fd), |v| unsafe {
            next(fd, bytes, v.bytes(length), offset)
        })
    }

    fn fsync(fd: c_int) -> c_int as next {
        with_faults(Call::Fsync, Subject::Descriptor(fd), |_| unsafe { next(fd) })
    }

    fn fdatasync(fd: c_int) -> c_int as next {
        with_faults(Call::Fdatasync, Subject::Descriptor(fd), |_| unsafe { next(fd) })
    }

    fn rename(from: *const c_char, to: *const c_char) -> c_int as next {
        unsafe { with_faults(Call::Rename, path_subject(to), |_| next(from, to)) }
    }

    fn ftruncate(fd: c_int, length: off_t) -> c_int as next {
        with_faults(Call::Ftruncate, Subject::Descriptor(fd), |_| unsafe { next(fd, length) })
    }

    fn ftruncate64(fd: c_int, length: off64_t) -> c_int as next {
        with_faults(Call::Ftruncate, Subject::Descriptor(fd), |_| unsafe { next(fd, length) })
    }
}
