//! Calls that take and give bytes.

use crate::engine::{guarded, Subject, Verdict};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_int, c_void, iovec, msghdr, sockaddr, socklen_t, ssize_t};

/// How many parts of a vector are looked at for a short call; a part alone is a short call too.
const PARTS: usize = 64;

/// Makes a call on the parts of a vector, or on the beginnings of them that a verdict leaves.
///
/// # Safety
/// There are so many parts.
unsafe fn parts(
    verdict: &Verdict,
    vector: *const iovec,
    count: c_int,
    make: impl FnOnce(*const iovec, c_int) -> ssize_t,
) -> ssize_t {
    let Some(most) = verdict.short else { return make(vector, count) };
    let mut left = most.max(1);
    let mut fewer = [iovec { iov_base: std::ptr::null_mut(), iov_len: 0 }; PARTS];
    let taken = usize::try_from(count).unwrap_or(0).min(PARTS);
    for (at, part) in fewer.iter_mut().enumerate().take(taken) {
        // SAFETY: the caller promises that many.
        let given = unsafe { *vector.add(at) };
        let length = given.iov_len.min(left);
        left -= length;
        *part = iovec { iov_base: given.iov_base, iov_len: length };
    }
    make(fewer.as_ptr(), taken as c_int)
}

interpose! {
    fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> ssize_t as next {
        // SAFETY: the arguments are handed on as they came, or fewer bytes of them; so in each function below.
        guarded(Call::Recv, Subject::Descriptor(fd), |v| unsafe { next(fd, bytes, v.bytes(length), flags) })
    }

    fn recvfrom(
        fd: c_int, bytes: *mut c_void, length: usize, flags: c_int, from: *mut sockaddr, size: *mut socklen_t,
    ) -> ssize_t as next {
        guarded(Call::Recvfrom, Subject::Descriptor(fd), |v| unsafe {
            next(fd, bytes, v.bytes(length), flags, from, size)
        })
    }

    fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t as next {
        guarded(Call::Recvmsg, Subject::Descriptor(fd), |_| unsafe { next(fd, message, flags) })
    }

    fn read(fd: c_int, bytes: *mut c_void, length: usize) -> ssize_t as next {
        guarded(Call::Read, Subject::Descriptor(fd), |v| unsafe { next(fd, bytes, v.bytes(length)) })
    }

    fn readv(fd: c_int, vector: *const iovec, count: c_int) -> ssize_t as next {
        guarded(Call::Readv, Subject::Descriptor(fd), |v| unsafe {
            parts(v, vector, count, |vector, count| next(fd, vector, count))
        })
    }

    fn send(fd: c_int, bytes: *const c_void, length: usize, flags: c_int) -> ssize_t as next {
        guarded(Call::Send, Subject::Descriptor(fd), |v| unsafe { next(fd, bytes, v.bytes(length), flags) })
    }

    fn sendto(
        fd: c_int, bytes: *const c_void, length: usize, flags: c_int, to: *const sockaddr, size: socklen_t,
    ) -> ssize_t as next {
        guarded(Call::Sendto, Subject::Descriptor(fd), |v| unsafe {
            next(fd, bytes, v.bytes(length), flags, to, size)
        })
    }

    fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t as next {
        guarded(Call::Sendmsg, Subject::Descriptor(fd), |_| unsafe { next(fd, message, flags) })
    }

    fn write(fd: c_int, bytes: *const c_void, length: usize) -> ssize_t as next {
        guarded(Call::Write, Subject::Descriptor(fd), |v| unsafe { next(fd, bytes, v.bytes(length)) })
    }

    fn writev(fd: c_int, vector: *const iovec, count: c_int) -> ssize_t as next {
        guarded(Call::Writev, Subject::Descriptor(fd), |v| unsafe {
            parts(v, vector, count, |vector, count| next(fd, vector, count))
        })
    }
}
