#ifndef JAYRILL_CLI_STANDALONE_H_
#define JAYRILL_CLI_STANDALONE_H_

#include <functional>
#include <optional>
#include <string>

#include "jayrill/agent/agent_process.h"
#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/entry/entry_process.h"
#include "jayrill/sample/sample_backend.h"

namespace jayrill {

/// Entry, agent, in-memory store and sample backend in one process; for trying
/// things out.
class standalone {
 public:
  explicit standalone(const clock& time);

  /// Starts all parts with the settings of the flags.
  result<void> Start();

  /// Stops all parts gracefully, the entry first, so that what it has taken is
  /// finished. \p stopped is called at the end.
  void Stop(std::function<void()> stopped);

  /// \returns true when the entry takes jobs and knows the sample minion.
  bool IsReady() const;

  /// \returns the addresses of all parts and an example, for people.
  std::string Describe() const;

  /// \returns the HTTP address of the entry.
  std::string entry_address() const;

 private:
  const clock& time_;
  std::optional<entry_process> entry_;
  std::optional<agent_process> agent_;
  std::optional<sample_backend> backend_;
};

}  // namespace jayrill

#endif  // JAYRILL_CLI_STANDALONE_H_
