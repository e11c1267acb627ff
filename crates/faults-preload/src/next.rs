//! The functions that stand behind ours: the next ones of the same name.

/// Defines a function that stands in for one of the C library. In its body `next!(arguments)` is that one.
///
/// ```ignore
/// interpose! { fn fsync(fd: c_int) -> c_int as next { guarded(Call::Fsync, Subject::Descriptor(fd), || unsafe { next(fd) }) } }
/// ```
macro_rules! interpose {
    ($(fn $name:ident($($arg:ident: $type:ty),* $(,)?) -> $result:ty as $next:ident $body:block)*) => {$(
        /// Stands in for the C library's function of this name.
        ///
        /// # Safety
        /// As that function's.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $result {
            type Function = unsafe extern "C" fn($($type),*) -> $result;
            static NEXT: std::sync::atomic::AtomicPtr<libc::c_void> =
                std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
            let mut found = NEXT.load(std::sync::atomic::Ordering::Relaxed);
            if found.is_null() {
                // SAFETY: the name ends with a zero byte.
                found = unsafe { libc::dlsym(libc::RTLD_NEXT, concat!(stringify!($name), "\0").as_ptr().cast()) };
                NEXT.store(found, std::sync::atomic::Ordering::Relaxed);
            }
            if found.is_null() {
                // SAFETY: the place of this thread's own error number.
                unsafe { *libc::__errno_location() = libc::ENOSYS };
                return -1;
            }
            // SAFETY: the C library's function of this name has this signature.
            let $next: Function = unsafe { std::mem::transmute::<*mut libc::c_void, Function>(found) };
            $body
        }
    )*};
}

pub(crate) use interpose;
