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

/// Runs an entry, an agent, an in-memory store and a sample backend in one
/// process, for evaluation and demonstrations.
class standalone {
 public:
  explicit standalone(const clock& time);

  /// Starts all parts with the settings in the Abseil flags. Every other
  /// function requires that this has succeeded.
  result<void> Start();

  /// Stops all parts gracefully and then calls \p stopped. The entry stops
  /// first, because the jobs that it has accepted need the other parts to
  /// finish.
  void Stop(std::function<void()> stopped);

  /// \returns true when the entry accepts jobs, and the agent is connected to
  /// it and knows the sample minion.
  bool IsReady() const;

  /// \returns the addresses of all parts and an example request, as readable
  /// text.
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
