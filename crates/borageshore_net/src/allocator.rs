//! How the allocator treats large buffers.

/// Buffers of at least this size are returned to the system when they are freed.
#[cfg(target_env = "gnu")]
const LARGE_BUFFER_BYTES: i32 = 128 * 1024;
/// The free memory that is kept for small buffers.
#[cfg(target_env = "gnu")]
const KEPT_BYTES: i32 = 4 * 1024 * 1024;

/// Makes freed large buffers return their memory to the system.
///
/// glibc otherwise raises the size from which it does so to that of the largest buffer freed so far, up to 32 MiB. Small
/// buffers then settle in the gaps that large ones leave, and the process keeps most of its largest use. Call it before
/// the event loop runs.
#[cfg(target_env = "gnu")]
#[expect(
    unsafe_code,
    reason = "the C library's settings have no safe interface"
)]
pub fn return_large_buffers() {
    // SAFETY: `mallopt` takes two integers, and is safe to call at any time.
    let are_set = unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES) == 1
            && libc::mallopt(libc::M_TRIM_THRESHOLD, KEPT_BYTES) == 1
    };
    if !are_set {
        log::warn!("allocator settings are refused; freed buffers may stay in the process");
    }
}

/// Does nothing: only glibc keeps freed large buffers.
#[cfg(not(target_env = "gnu"))]
pub fn return_large_buffers() {}
