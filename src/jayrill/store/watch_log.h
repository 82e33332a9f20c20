#ifndef JAYRILL_STORE_WATCH_LOG_H_
#define JAYRILL_STORE_WATCH_LOG_H_

#include <cstdint>
#include <string>

#include "jayrill/base/error.h"

namespace jayrill {

/// Logs that a watch was interrupted and that it works again, one line each.
///
/// A watch asks again several times a second while the store is away.
class watch_log {
 public:
  /// \p prefix: of the part that logs. \p what: what the watch shows.
  watch_log(std::string prefix, std::string what);

  void OnInterrupted(const error& failure);
  void OnWorking();

 private:
  std::string prefix_;
  std::string what_;
  std::uint32_t failures_ = 0;  ///< Since the watch has last worked.
};

}  // namespace jayrill

#endif  // JAYRILL_STORE_WATCH_LOG_H_
