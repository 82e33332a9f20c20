#include "jayrill/rpc/batched_stream.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace jayrill {

namespace {

/// Size of the read buffer; holds several messages of starts or results.
constexpr std::size_t kReadBufferBytes = 4096;

/// Unsent bytes beyond which a write waits until all of them are sent.
constexpr std::size_t kMaxPendingBytes = std::size_t{64} * 1024;

/// A write buffer that has grown beyond this is freed once it is sent.
constexpr std::size_t kMaxRetainedBytes = std::size_t{16} * 1024;

}  // namespace

batched_stream::batched_stream(kj::Own<kj::AsyncIoStream> inner)
    : inner_(kj::mv(inner)),
      read_buffer_(kj::heapArray<kj::byte>(kReadBufferBytes)) {}

std::size_t batched_stream::TakeBuffered(void* buffer, std::size_t size) {
  const std::size_t taken = std::min(size, read_end_ - read_begin_);
  if (taken > 0) {
    std::memcpy(buffer, read_buffer_.begin() + read_begin_, taken);
    read_begin_ += taken;
  }
  return taken;
}

kj::Promise<std::size_t> batched_stream::tryRead(void* buffer,
                                                 std::size_t min_bytes,
                                                 std::size_t max_bytes) {
  const std::size_t taken = TakeBuffered(buffer, max_bytes);
  if (taken >= min_bytes) {
    return taken;
  }
  auto* const target = static_cast<kj::byte*>(buffer) + taken;
  const std::size_t remaining = max_bytes - taken;
  if (remaining >= read_buffer_.size()) {
    auto count = inner_->tryRead(target, min_bytes - taken, remaining);
    if (taken == 0) {
      return count;
    }
    return count.then([taken](std::size_t more) { return taken + more; });
  }
  return inner_
      ->tryRead(read_buffer_.begin(), min_bytes - taken, read_buffer_.size())
      .then([this, target, remaining, taken](std::size_t count) {
        read_begin_ = 0;
        read_end_ = count;
        return taken + TakeBuffered(target, remaining);
      });
}

kj::Promise<void> batched_stream::write(const void* buffer, std::size_t size) {
  const auto* const bytes = static_cast<const kj::byte*>(buffer);
  pending_.addAll(bytes, bytes + size);
  return ScheduleFlush();
}

kj::Promise<void> batched_stream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  for (const auto& piece : pieces) {
    pending_.addAll(piece);
  }
  return ScheduleFlush();
}

kj::Promise<void> batched_stream::ScheduleFlush() {
  KJ_IF_MAYBE (failure, write_error_) {
    pending_.clear();
    return kj::cp(*failure);
  }
  if (!is_flushing_) {
    is_flushing_ = true;
    flushed_ = kj::evalLast([this] { return Flush(); }).fork();
  }
  if (pending_.size() > kMaxPendingBytes) {
    return flushed_.addBranch();
  }
  return kj::READY_NOW;
}

kj::Promise<void> batched_stream::Flush() {
  if (pending_.empty()) {
    is_flushing_ = false;
    return kj::READY_NOW;
  }
  std::swap(pending_, sending_);
  return inner_->write(sending_.begin(), sending_.size())
      .then(
          [this] {
            if (sending_.capacity() > kMaxRetainedBytes) {
              sending_ = {};
            }
            sending_.clear();
            return Flush();
          },
          [this](kj::Exception&& failure) -> kj::Promise<void> {
            write_error_ = kj::cp(failure);
            is_flushing_ = false;
            return kj::mv(failure);
          });
}

kj::Promise<void> batched_stream::whenWriteDisconnected() {
  return inner_->whenWriteDisconnected();
}

void batched_stream::shutdownWrite() {
  if (!is_flushing_) {
    inner_->shutdownWrite();
    return;
  }
  shutdown_ = flushed_.addBranch()
                  .then([this] { inner_->shutdownWrite(); })
                  .eagerlyEvaluate([](kj::Exception&&) {
                    // The connection has failed, so there is nothing to shut
                    // down.
                  });
}

void batched_stream::abortRead() {
  inner_->abortRead();
}

}  // namespace jayrill
