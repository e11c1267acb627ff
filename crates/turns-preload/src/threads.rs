//! Calls that create, end, join and yield threads.

use crate::turns;
use aniseyoke_interpose::interpose;
use aniseyoke_turns::{Call, ThreadId};
use libc::{c_int, c_void, pthread_attr_t, pthread_key_t, pthread_t};
use std::sync::{Mutex, OnceLock, PoisonError};

type StartRoutine = extern "C" fn(*mut c_void) -> *mut c_void;

/// The start routine of a new thread, with its argument and id.
struct Start {
    id: ThreadId,
    body: StartRoutine,
    argument: *mut c_void,
}

/// Thread ids by handle, the newest last, since the C library reuses handles.
static HANDLES: Mutex<Vec<(pthread_t, ThreadId)>> = Mutex::new(Vec::new());

/// Returns the key whose destructor runs at a thread's end, after the destructors of its thread-local values.
fn end_key() -> pthread_key_t {
    static KEY: OnceLock<pthread_key_t> = OnceLock::new();
    *KEY.get_or_init(|| {
        let mut key = 0;
        // SAFETY: the call writes a key to `key`.
        unsafe { libc::pthread_key_create(&raw mut key, Some(on_thread_end)) };
        key
    })
}

unsafe extern "C" fn on_thread_end(_: *mut c_void) {
    turns::end();
}

extern "C" fn thread_main(start: *mut c_void) -> *mut c_void {
    // SAFETY: `pthread_create` below passes each thread its own boxed `Start`.
    let start = unsafe { Box::from_raw(start.cast::<Start>()) };
    // SAFETY: any non-null value makes the destructor run; the value is never read.
    unsafe { libc::pthread_setspecific(turns::bypass_scheduler(end_key), thread_main as *const c_void) };
    turns::begin(start.id);
    (start.body)(start.argument)
}

fn id_of(handle: pthread_t) -> Option<ThreadId> {
    turns::bypass_scheduler(|| {
        let handles = HANDLES.lock().unwrap_or_else(PoisonError::into_inner);
        handles.iter().rev().find(|(known, _)| *known == handle).map(|(_, id)| *id)
    })
}

interpose! {
    fn pthread_create(
        thread: *mut pthread_t, attributes: *const pthread_attr_t, body: StartRoutine, argument: *mut c_void,
    ) -> c_int as next {
        turns::turn(Call::CreateThread);
        let Some(id) = turns::create() else {
            // SAFETY: the arguments are forwarded unchanged, here and in each function below.
            return unsafe { next(thread, attributes, body, argument) };
        };
        turns::bypass_scheduler(end_key);
        let start = Box::into_raw(Box::new(Start { id, body, argument }));
        let done = unsafe { next(thread, attributes, thread_main, start.cast()) };
        if done == 0 {
            // SAFETY: the call has written a handle. The new thread can't have ended: this thread still holds
            // the turn.
            let handle = unsafe { *thread };
            turns::bypass_scheduler(|| {
                HANDLES.lock().unwrap_or_else(PoisonError::into_inner).push((handle, id))
            });
            turns::turn(Call::CreateThread);
        } else {
            turns::cancel(id);
            // SAFETY: no thread was started that could have taken the box.
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
