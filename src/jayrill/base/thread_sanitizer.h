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

/// States to the thread sanitizer that all earlier work of this thread happens
/// before the next NoteAcquire of the same \p object. Needed where a library
/// that is not instrumented orders two threads; does nothing in other builds.
inline void NoteRelease([[maybe_unused]] const void* object) {
#ifdef JAYRILL_THREAD_SANITIZER
  __tsan_release(const_cast<void*>(object));
#endif
}

/// The counterpart of NoteRelease.
inline void NoteAcquire([[maybe_unused]] const void* object) {
#ifdef JAYRILL_THREAD_SANITIZER
  __tsan_acquire(const_cast<void*>(object));
#endif
}

}  // namespace jayrill

#endif  // JAYRILL_BASE_THREAD_SANITIZER_H_
