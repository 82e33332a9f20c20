#ifndef JAYRILL_ENTRY_MAIN_THREAD_H_
#define JAYRILL_ENTRY_MAIN_THREAD_H_

#include <QtCore/QCoreApplication>
#include <utility>

namespace jayrill {

/// Runs \p function on the Qt main thread, later. Callable from any thread
/// while the application object exists.
template <typename Function>
void PostToMainThread(Function&& function) {
  QMetaObject::invokeMethod(QCoreApplication::instance(),
                            std::forward<Function>(function),
                            Qt::QueuedConnection);
}

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_MAIN_THREAD_H_
