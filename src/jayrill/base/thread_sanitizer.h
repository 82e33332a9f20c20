#ifndef JAYRILL_BASE_THREAD_SANITIZER_H_
#define JAYRILL_BASE_THREAD_SANITIZER_H_

#if defined(__SANITIZE_THREAD__)
#define JAYRILL_THREAD_SANITIZER 1
#elif defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define JAYRILL_THREAD_SANITIZER 1
#endif
#endif

#ifdef JAYRILL_THREAD_SANITIZER
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
#endif

namespace jayrill {

/// Tells the thread sanitizer that all that this thread has done so far happens
/// before what follows the next AnnotateAcquire of the same \p object. Needed
/// where a library that is not instrumented synchronizes two threads. Has no
/// effect in builds without the thread sanitizer.
inline void AnnotateRelease([[maybe_unused]] const void* object) {
#ifdef JAYRILL_THREAD_SANITIZER
  __tsan_release(const_cast<void*>(object));
#endif
}

/// Tells the thread sanitizer that everything before the previous
/// AnnotateRelease of the same \p object happens before what follows in this
/// thread.
inline void AnnotateAcquire([[maybe_unused]] const void* object) {
#ifdef JAYRILL_THREAD_SANITIZER
  __tsan_acquire(const_cast<void*>(object));
#endif
}

}  // namespace jayrill

#endif  // JAYRILL_BASE_THREAD_SANITIZER_H_
