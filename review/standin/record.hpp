#pragma once

// The record of a case: what was sent, answered and run, with the time since
// its start.

#include <QElapsedTimer>
#include <QFile>
#include <QString>

namespace review {

class record {
 public:
  explicit record(const QString& path) : file_(path) {
    file_.open(QIODevice::WriteOnly | QIODevice::Truncate);
    timer_.start();
  }

  qint64 Millis() const { return timer_.elapsed(); }

  void Line(const QString& text) {
    file_.write(QStringLiteral("%1 s  %2\n")
                    .arg(static_cast<double>(Millis()) / 1000, 8, 'f', 3)
                    .arg(text)
                    .toUtf8());
    file_.flush();
  }

 private:
  QFile file_;
  QElapsedTimer timer_;
};

}  // namespace review
