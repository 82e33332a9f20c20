#ifndef JAYRILL_AGENT_MINION_CLIENT_H_
#define JAYRILL_AGENT_MINION_CLIENT_H_

#include <QNetworkAccessManager>
#include <QObject>
#include <functional>
#include <memory>
#include <vector>

#include "jayrill/agent/agent_settings.h"
#include "jayrill/agent/minion_port.h"
#include "jayrill/agent/task_call.h"
#include "jayrill/base/clock.h"
#include "jayrill/job/task_result.h"

namespace jayrill {

/// Calls the minion over local HTTP. Lives on the Qt thread.
class minion_client final : public minion_port {
 public:
  minion_client(const agent_settings& settings,
                const clock& time,
                listener owner);
  ~minion_client() override;
  minion_client(const minion_client&) = delete;
  minion_client& operator=(const minion_client&) = delete;

  void Run(const task_call& call) override;

  /// Whether calls are refused because the minion has left. Stops calls that
  /// were on their way between the threads when it left.
  void SetLeft(bool left) override { left_ = left; }

  /// \returns the number of calls that have not ended.
  std::uint32_t running() const override { return running_; }

 private:
  struct manager {
    std::unique_ptr<QNetworkAccessManager> access;
    std::uint32_t busy = 0;
  };

  manager& FreeManager();
  bool RefuseLate(const task_call& call);

  const agent_settings& settings_;
  const clock& time_;
  listener listener_;
  bool left_ = false;
  std::uint32_t running_ = 0;
  std::vector<std::unique_ptr<manager>> managers_;
  // Parent of the calls that have not ended; destroyed before their managers.
  QObject calls_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_MINION_CLIENT_H_
