//! Functions that receive and send bytes.

use crate::engine::{with_faults, Subject, Verdict};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_int, c_void, iovec, msghdr, sockaddr, socklen_t, ssize_t};

/// Maximum number of buffers passed on by a shortened call on a vector; omitting the rest only makes it
/// shorter.
const MAX_BUFFERS: usize = 64;

/// Makes a call on a vector of buffers, limited to the verdict's number of bytes.
///
/// # Safety
/// `vector` must have `count` entries.
unsafe fn with_limited_buffers(
    verdict: &Verdict,
    vector: *const iovec,
    count: c_int,
    make: impl FnOnce(*const iovec, c_int) -> ssize_t,
) -> ssize_t {
    let Some(limit) = verdict.short else { return make(vector, count) };
    let mut bytes_left = limit.max(1);
    let mut shortened = [iovec { iov_base: std::ptr::null_mut(), iov_len: 0 }; MAX_BUFFERS];
    let used = usize::try_from(count).unwrap_or(0).min(MAX_BUFFERS);
    for (index, buffer) in shortened.iter_mut().enumerate().take(used) {
        // SAFETY: the caller guarantees `count` entries.
        let original = unsafe { *vector.add(index) };
        let length = original.iov_len.min(bytes_left);
        bytes_left -= length;
        *buffer = iovec { iov_base: original.iov_base, iov_len: length };
    }
    make(shortened.as_ptr(), used as c_int)
}

interpose! {
    fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> ssize_t as next {
        // SAFETY: the caller's arguments are passed on unchanged, or with a smaller length; the same holds in
        // each function below.
        with_faults(Call::Recv, Subject::Descriptor(fd), |v| unsafe {
            next(fd, bytes, v.bytes(length), flags)
        })
    }

    fn recvfrom(
        fd: c_int, bytes: *mut c_void, length: usize, flags: c_int, from: *mut sockaddr, size: *mut socklen_t,
    ) -> ssize_t as next {
        with_faults(Call::Recvfrom, Subject::Descriptor(fd), |v| unsafe {
            next(fd, bytes, v.bytes(length), flags, from, size)
        })
    }

    fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t as next {
        with_faults(Call::Recvmsg, Subject::Descriptor(fd), |_| unsafe { next(fd, message, flags) })
    }

    fn read(fd: c_int, bytes: *mut c_void, length: usize) -> ssize_t as next {
        with_faults(Call::Read, Subject::Descriptor(fd), |v| unsafe { next(fd, bytes, v.bytes(length)) })
    }

    fn readv(fd: c_int, vector: *const iovec, count: c_int) -> ssize_t as next {
        with_faults(Call::Readv, Subject::Descriptor(fd), |v| unsafe {
            with_limited_buffers(v, vector, count, |vector, count| next(fd, vector, count))
        })
    }

    fn send(fd: c_int, bytes: *const c_void, length: usize, flags: c_int) -> ssize_t as next {
        with_faults(Call::Send, Subject::Descriptor(fd), |v| unsafe {
            next(fd, bytes, v.bytes(length), flags)
        })
    }

    fn sendto(
        fd: c_int, bytes: *const c_void, length: usize, flags: c_int, to: *const sockaddr, size: socklen_t,
    ) -> ssize_t as next {
        with_faults(Call::Sendto, Subject::Descriptor(fd), |v| unsafe {
            next(fd, bytes, v.bytes(length), flags, to, size)
        })
    }

    fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t as next {
        with_faults(Call::Sendmsg, Subject::Descriptor(fd), |_| unsafe { next(fd, message, flags) })
    }

    fn write(fd: c_int, bytes: *const c_void, length: usize) -> ssize_t as next {
        with_faults(Call::Write, Subject::Descriptor(fd), |v| unsafe { next(fd, bytes, v.bytes(length)) })
    }

    fn writev(fd: c_int, vector: *const iovec, count: c_int) -> ssize_t as next {
        with_faults(Call::Writev, Subject::Descriptor(fd), |v| unsafe {
            with_limited_buffers(v, vector, count, |vector, count| next(fd, vector, count))
        })
    }
}
