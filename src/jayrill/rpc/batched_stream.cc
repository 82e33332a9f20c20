#include "jayrill/rpc/batched_stream.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace jayrill {

namespace {

/// Bytes that are read ahead. Several messages of starts or results fit.
constexpr std::size_t kReadAhead = 4096;

/// Stored bytes from which on a writer waits until they are sent.
constexpr std::size_t kMaxPending = std::size_t{64} * 1024;

/// A buffer that has grown beyond this is given back once it is empty.
constexpr std::size_t kKeptCapacity = std::size_t{16} * 1024;

}  // namespace

batched_stream::batched_stream(kj::Own<kj::AsyncIoStream> inner)
    : inner_(kj::mv(inner)), ahead_(kj::heapArray<kj::byte>(kReadAhead)) {}

std::size_t batched_stream::TakeAhead(void* buffer, std::size_t size) {
  const std::size_t taken = std::min(size, ahead_end_ - ahead_begin_);
  if (taken > 0) {
    std::memcpy(buffer, ahead_.begin() + ahead_begin_, taken);
    ahead_begin_ += taken;
  }
  return taken;
}

kj::Promise<std::size_t> batched_stream::tryRead(void* buffer,
                                                 std::size_t min_bytes,
                                                 std::size_t max_bytes) {
  const std::size_t taken = TakeAhead(buffer, max_bytes);
  if (taken >= min_bytes) {
    return taken;
  }
  auto* const rest = static_cast<kj::byte*>(buffer) + taken;
  const std::size_t room = max_bytes - taken;
  if (room >= ahead_.size()) {
    auto count = inner_->tryRead(rest, min_bytes - taken, room);
    if (taken == 0) {
      return count;
    }
    return count.then([taken](std::size_t more) { return taken + more; });
  }
  return inner_->tryRead(ahead_.begin(), min_bytes - taken, ahead_.size())
      .then([this, rest, room, taken](std::size_t count) {
        ahead_begin_ = 0;
        ahead_end_ = count;
        return taken + TakeAhead(rest, room);
      });
}

kj::Promise<void> batched_stream::write(const void* buffer, std::size_t size) {
  const auto* const bytes = static_cast<const kj::byte*>(buffer);
  pending_.addAll(bytes, bytes + size);
  return Accept();
}

kj::Promise<void> batched_stream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  for (const auto& piece : pieces) {
    pending_.addAll(piece);
  }
  return Accept();
}

kj::Promise<void> batched_stream::Accept() {
  KJ_IF_MAYBE (failure, failure_) {
    pending_.clear();
    return kj::cp(*failure);
  }
  if (!is_flushing_) {
    is_flushing_ = true;
    flushed_ = kj::evalLast([this] { return Flush(); }).fork();
  }
  if (pending_.size() > kMaxPending) {
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
            if (sending_.capacity() > kKeptCapacity) {
              sending_ = {};
            }
            sending_.clear();
            return Flush();
          },
          [this](kj::Exception&& failure) -> kj::Promise<void> {
            failure_ = kj::cp(failure);
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
  closing_ = flushed_.addBranch()
                 .then([this] { inner_->shutdownWrite(); })
                 .eagerlyEvaluate([](kj::Exception&&) {
                   // The connection is gone, so it needs no end.
                 });
}

void batched_stream::abortRead() {
  inner_->abortRead();
}

}  // namespace jayrill
