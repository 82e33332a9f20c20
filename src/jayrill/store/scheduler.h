#ifndef JAYRILL_STORE_SCHEDULER_H_
#define JAYRILL_STORE_SCHEDULER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace jayrill {

/// Runs functions after a delay, on the thread of the caller. An interface, so
/// that tests can run the same code in virtual time.
class scheduler {
 public:
  virtual ~scheduler() = default;

  /// Runs \p work after \p delay, never inside this call. Functions that are
  /// due at the same time run in the order in which they were passed.
  virtual void After(std::chrono::milliseconds delay,
                     std::function<void()> work) = 0;
};

/// Disables the pending callbacks of an object when the object is destroyed.
///
/// Make it a member of the object, declared last so that it is destroyed first.
/// Use it and run the wrapped callbacks on one thread only.
class callback_guard {
 public:
  /// \returns a callback that calls \p function, and does nothing once this
  /// guard is destroyed.
  template <typename Function>
  auto Wrap(Function function) const {
    return [alive = std::weak_ptr<bool>(alive_),
            function = std::move(function)](auto&&... arguments) mutable {
      if (!alive.expired()) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jayrill

#endif  // JAYRILL_STORE_SCHEDULER_H_
