//! Replaces functions of the C library in a library that is loaded by `LD_PRELOAD`. The replaced function
//! stays available as the next one of the same name in the dynamic linker's search order.

pub use libc;

/// Defines functions that replace those of the C library. In a body, the name after `as` is the replaced
/// function.
///
/// ```ignore
/// interpose! {
///     fn fsync(fd: c_int) -> c_int as next {
///         with_faults(Call::Fsync, Subject::Descriptor(fd), |_| unsafe { next(fd) })
///     }
/// }
/// ```
#[macro_export]
macro_rules! interpose {
    ($(fn $name:ident($($arg:ident: $type:ty),* $(,)?) -> $result:ty as $next:ident $body:block)*) => {$(
        /// Replaces the C library's function of this name.
        ///
        /// # Safety
        /// The same as for the replaced function.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $result {
            type Function = unsafe extern "C" fn($($type),*) -> $result;
            static NEXT: std::sync::atomic::AtomicPtr<$crate::libc::c_void> =
                std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
            let mut found = NEXT.load(std::sync::atomic::Ordering::Relaxed);
            if found.is_null() {
                let name = concat!(stringify!($name), "\0").as_ptr();
                // SAFETY: the name is terminated by a zero byte.
                found = unsafe { $crate::libc::dlsym($crate::libc::RTLD_NEXT, name.cast()) };
                NEXT.store(found, std::sync::atomic::Ordering::Relaxed);
            }
            if found.is_null() {
                // SAFETY: the pointer is to this thread's own error number.
                unsafe { *$crate::libc::__errno_location() = $crate::libc::ENOSYS };
                return -1;
            }
            // SAFETY: the C library's function of this name has this signature.
            let $next: Function = unsafe { std::mem::transmute::<*mut $crate::libc::c_void, Function>(found) };
            $body
        }
    )*};
}
