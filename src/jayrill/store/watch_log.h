#ifndef JAYRILL_STORE_WATCH_LOG_H_
#define JAYRILL_STORE_WATCH_LOG_H_

#include <cstdint>
#include <string>

#include "jayrill/base/error.h"

namespace jayrill {

/// Logs one line when a watch is interrupted and one when it works again.
///
/// A watch retries several times per second while the store cannot be reached;
/// the repeated failures are not logged.
class watch_log {
 public:
  /// \p prefix: log prefix of the module, such as `config`. \p what: what is
  /// watched, such as `configuration`.
  watch_log(std::string prefix, std::string what);

  void OnInterrupted(const error& failure);
  void OnWorking();

 private:
  std::string prefix_;
  std::string what_;
  std::uint32_t failures_ = 0;  ///< Since the watch last worked.
};

}  // namespace jayrill

#endif  // JAYRILL_STORE_WATCH_LOG_H_
