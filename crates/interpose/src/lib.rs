//! Stands in for functions of the C library, in a library that `LD_PRELOAD` loads: the function that stands behind ours is the
//! next one of the same name.

pub use libc;

/// Defines functions that stand in for those of the C library. In a body the name after `as` is the next one.
///
/// ```ignore
/// interpose! { fn fsync(fd: c_int) -> c_int as next { guarded(Call::Fsync, Subject::Descriptor(fd), || unsafe { next(fd) }) } }
/// ```
#[macro_export]
macro_rules! interpose {
    ($(fn $name:ident($($arg:ident: $type:ty),* $(,)?) -> $result:ty as $next:ident $body:block)*) => {$(
        /// Stands in for the C library's function of this name.
        ///
        /// # Safety
        /// As that function's.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $result {
            type Function = unsafe extern "C" fn($($type),*) -> $result;
            static NEXT: std::sync::atomic::AtomicPtr<$crate::libc::c_void> =
                std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
            let mut found = NEXT.load(std::sync::atomic::Ordering::Relaxed);
            if found.is_null() {
                let name = concat!(stringify!($name), "\0").as_ptr();
                // SAFETY: the name ends with a zero byte.
                found = unsafe { $crate::libc::dlsym($crate::libc::RTLD_NEXT, name.cast()) };
                NEXT.store(found, std::sync::atomic::Ordering::Relaxed);
            }
            if found.is_null() {
                // SAFETY: the place of this thread's own error number.
                unsafe { *$crate::libc::__errno_location() = $crate::libc::ENOSYS };
                return -1;
            }
            // SAFETY: the C library's function of this name has this signature.
            let $next: Function = unsafe { std::mem::transmute::<*mut $crate::libc::c_void, Function>(found) };
            $body
        }
    )*};
}
