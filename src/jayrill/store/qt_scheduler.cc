#include "jayrill/store/qt_scheduler.h"

#include <QTimer>
#include <utility>

namespace jayrill {

void qt_scheduler::After(std::chrono::milliseconds delay,
                         std::function<void()> work) {
  QTimer::singleShot(delay, Qt::PreciseTimer, &context_, std::move(work));
}

}  // namespace jayrill
