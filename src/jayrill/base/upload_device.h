#ifndef JAYRILL_BASE_UPLOAD_DEVICE_H_
#define JAYRILL_BASE_UPLOAD_DEVICE_H_

#include <QByteArray>
#include <QIODevice>
#include <algorithm>
#include <cstring>
#include <utility>

namespace jayrill {

/// A request body that can be read only once, which keeps Qt from repeating the
/// request.
///
/// QNetworkAccessManager repeats a request on a new connection when the server
/// closes the old one before it answers, so a request would be carried out
/// twice. It fails the request instead when the body cannot be rewound.
class upload_device final : public QIODevice {
 public:
  explicit upload_device(QByteArray body) : body_(std::move(body)) {
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }

  /// \returns true when Qt has read a part of the body, so that the part may
  /// have been sent.
  bool was_read() const { return was_read_; }

  qint64 size() const override { return body_.size(); }
  bool reset() override { return !was_read_; }
  bool seek(qint64 position) override {
    return !was_read_ && position == 0 && QIODevice::seek(position);
  }
  bool atEnd() const override { return offset_ == body_.size(); }

 protected:
  qint64 readData(char* target, qint64 limit) override {
    if (offset_ == body_.size()) {
      return -1;
    }
    was_read_ = true;
    const qint64 count = std::min<qint64>(limit, body_.size() - offset_);
    std::memcpy(target, body_.constData() + offset_,
                static_cast<std::size_t>(count));
    offset_ += count;
    return count;
  }
  qint64 writeData(const char*, qint64) override { return -1; }

 private:
  QByteArray body_;
  qint64 offset_ = 0;
  bool was_read_ = false;
};

}  // namespace jayrill

#endif  // JAYRILL_BASE_UPLOAD_DEVICE_H_
