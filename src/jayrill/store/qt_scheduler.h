#ifndef JAYRILL_STORE_QT_SCHEDULER_H_
#define JAYRILL_STORE_QT_SCHEDULER_H_

#include <QObject>

#include "jayrill/store/scheduler.h"

namespace jayrill {

/// Scheduler on the Qt event loop of the thread that creates it. Functions that
/// are still waiting when it is destroyed don't run.
class qt_scheduler final : public scheduler {
 public:
  void After(std::chrono::milliseconds delay,
             std::function<void()> work) override;

 private:
  QObject context_;
};

}  // namespace jayrill

#endif  // JAYRILL_STORE_QT_SCHEDULER_H_
