#ifndef JAYRILL_ENTRY_MAIN_THREAD_H_
#define JAYRILL_ENTRY_MAIN_THREAD_H_

#include <QtCore/QCoreApplication>
#include <utility>

namespace jayrill {

/// Queues \p function, which then runs on the Qt main thread. May be called on
/// any thread while the application object exists.
template <typename Function>
void PostToMainThread(Function&& function) {
  QMetaObject::invokeMethod(QCoreApplication::instance(),
                            std::forward<Function>(function),
                            Qt::QueuedConnection);
}

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_MAIN_THREAD_H_
