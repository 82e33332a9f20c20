#ifndef JAYRILL_RPC_BATCHED_STREAM_H_
#define JAYRILL_RPC_BATCHED_STREAM_H_

#include <kj/async-io.h>
#include <kj/vector.h>

#include <cstddef>

namespace jayrill {

// The interfaces of kj have no virtual destructors; kj::Own deletes the object
// as what it was created.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// A connection that reads ahead and that writes once in a turn of the event
/// loop.
///
/// Cap'n Proto reads the header and the body of each message by themselves and
/// writes each message by itself. A call takes three messages, so most of its
/// cost in a small process is system calls.
///
/// A write is complete when its bytes are stored here. An error of the
/// connection is thrown by the next write; readers see it as well.
class batched_stream final : public kj::AsyncIoStream {
 public:
  explicit batched_stream(kj::Own<kj::AsyncIoStream> inner);

  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t min_bytes,
                                   std::size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;

  /// Ends the connection after everything that was written before.
  void shutdownWrite() override;
  void abortRead() override;

 private:
  std::size_t TakeAhead(void* buffer, std::size_t size);
  kj::Promise<void> Accept();
  kj::Promise<void> Flush();

  kj::Own<kj::AsyncIoStream> inner_;
  kj::Array<kj::byte> ahead_;
  std::size_t ahead_begin_ = 0;
  std::size_t ahead_end_ = 0;
  kj::Vector<kj::byte> pending_;  ///< Goes out with the next write.
  kj::Vector<kj::byte> sending_;  ///< In the write that is under way.
  kj::Maybe<kj::Exception> failure_;
  bool is_flushing_ = false;
  kj::ForkedPromise<void> flushed_ = nullptr;
  kj::Promise<void> closing_ = nullptr;
};

#pragma GCC diagnostic pop

}  // namespace jayrill

#endif  // JAYRILL_RPC_BATCHED_STREAM_H_
