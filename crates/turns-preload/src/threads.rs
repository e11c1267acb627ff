//! Threads: how they begin and end, and who waits for that.

use crate::turns;
use aniseyoke_interpose::interpose;
use aniseyoke_turns::{Call, ThreadId};
use libc::{c_int, c_void, pthread_attr_t, pthread_key_t, pthread_t};
use std::sync::{Mutex, OnceLock, PoisonError};

type Body = extern "C" fn(*mut c_void) -> *mut c_void;

/// What a new thread has to run.
struct Start {
    id: ThreadId,
    body: Body,
    argument: *mut c_void,
}

/// The threads by their handles, the newest last: a handle is used again.
static HANDLES: Mutex<Vec<(pthread_t, ThreadId)>> = Mutex::new(Vec::new());

/// The key whose destructor runs at a thread's end, behind the destructors of its thread-local values.
fn key() -> pthread_key_t {
    static KEY: OnceLock<pthread_key_t> = OnceLock::new();
    *KEY.get_or_init(|| {
        let mut key = 0;
        // SAFETY: the call writes a key there.
        unsafe { libc::pthread_key_create(&raw mut key, Some(ended)) };
        key
    })
}

unsafe extern "C" fn ended(_: *mut c_void) {
    turns::end();
}

extern "C" fn begin(start: *mut c_void) -> *mut c_void {
    // SAFETY: `pthread_create` below gives each thread one of its own.
    let start = unsafe { Box::from_raw(start.cast::<Start>()) };
    // SAFETY: any value that is not null has the destructor run; nobody reads it.
    unsafe { libc::pthread_setspecific(turns::quietly(key), begin as *const c_void) };
    turns::begin(start.id);
    (start.body)(start.argument)
}

fn id_of(handle: pthread_t) -> Option<ThreadId> {
    turns::quietly(|| {
        let handles = HANDLES.lock().unwrap_or_else(PoisonError::into_inner);
        handles.iter().rev().find(|(known, _)| *known == handle).map(|(_, id)| *id)
    })
}

interpose! {
    fn pthread_create(
        thread: *mut pthread_t, attributes: *const pthread_attr_t, body: Body, argument: *mut c_void,
    ) -> c_int as next {
        turns::turn(Call::CreateThread);
        let Some(id) = turns::create() else {
            // SAFETY: the arguments are handed on as they came; so in each function below.
            return unsafe { next(thread, attributes, body, argument) };
        };
        turns::quietly(key);
        let start = Box::into_raw(Box::new(Start { id, body, argument }));
        let done = unsafe { next(thread, attributes, begin, start.cast()) };
        if done == 0 {
            // SAFETY: the call has written a handle there. The new thread can't have ended: the turn is still this one's.
            let handle = unsafe { *thread };
            turns::quietly(|| HANDLES.lock().unwrap_or_else(PoisonError::into_inner).push((handle, id)));
            turns::turn(Call::CreateThread);
        } else {
            turns::cancel(id);
            // SAFETY: no thread has taken it.
            drop(unsafe { Box::from_raw(start) });
        }
        done
    }

    fn pthread_join(thread: pthread_t, result: *mut *mut c_void) -> c_int as next {
        turns::turn(Call::JoinThread);
        if let Some(id) = id_of(thread) {
            turns::join(id);
        }
        unsafe { next(thread, result) }
    }

    fn sched_yield() -> c_int as next {
        turns::turn(Call::Yield);
        unsafe { next() }
    }
}
