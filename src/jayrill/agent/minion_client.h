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

/// Calls the minion over local HTTP. Its functions run on the Qt thread.
///
/// A destroyed client aborts its calls without reporting them.
class minion_client final : public minion_port {
 public:
  minion_client(const agent_settings& settings,
                const clock& time,
                listener callbacks);
  ~minion_client() override;
  minion_client(const minion_client&) = delete;
  minion_client& operator=(const minion_client&) = delete;

  void Run(const task_call& call) override;

  /// Sets whether calls are refused because the minion has left. This
  /// also covers calls that were queued between the threads when it left.
  void SetMinionLeft(bool left) override { minion_left_ = left; }

  /// \returns the number of calls that have not ended.
  std::uint32_t running() const override { return running_; }

 private:
  /// A network manager and the number of calls that use it.
  struct connection_pool {
    std::unique_ptr<QNetworkAccessManager> network;
    std::uint32_t active_calls = 0;
  };

  connection_pool& PoolWithCapacity();
  bool RefuseIfPausedOrLeft(const task_call& call);

  const agent_settings& settings_;
  const clock& time_;
  listener listener_;
  bool minion_left_ = false;
  std::uint32_t running_ = 0;
  std::vector<std::unique_ptr<connection_pool>> pools_;
  // Parent of the calls that have not ended; destroyed before the pools that
  // the calls use.
  QObject call_parent_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_MINION_CLIENT_H_
