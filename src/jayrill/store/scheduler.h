#ifndef JAYRILL_STORE_SCHEDULER_H_
#define JAYRILL_STORE_SCHEDULER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace jayrill {

/// Runs functions later on the thread that owns the caller; passed in, so that
/// tests run the same code in virtual time.
class scheduler {
 public:
  virtual ~scheduler() = default;

  /// Runs \p work after \p delay, never inside this call. Works that are due at
  /// the same time run in the order of their calls.
  virtual void After(std::chrono::milliseconds delay,
                     std::function<void()> work) = 0;
};

/// Member of an object whose callbacks may run after its end: a guarded
/// callback does nothing once the object is destroyed. Declare it last.
class callback_guard {
 public:
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
