#ifndef TESTS_SUPPORT_QT_WAIT_H_
#define TESTS_SUPPORT_QT_WAIT_H_

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QThread>

namespace jayrill {

/// Runs the Qt event loop until \p condition holds, for one minute at most. The
/// limit is generous so that tests pass on a slow machine.
/// \returns true when the condition holds at the end.
template <typename Condition>
bool WaitFor(Condition condition) {
  static int argument_count = 1;
  static char name[] = "test";
  static char* arguments[] = {name, nullptr};
  static const QCoreApplication kApplication(argument_count, arguments);
  QElapsedTimer elapsed;
  elapsed.start();
  while (!condition() && elapsed.elapsed() < 60'000) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    QThread::msleep(1);
  }
  return condition();
}

}  // namespace jayrill

#endif  // TESTS_SUPPORT_QT_WAIT_H_
