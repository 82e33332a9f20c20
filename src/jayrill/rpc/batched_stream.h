#ifndef JAYRILL_RPC_BATCHED_STREAM_H_
#define JAYRILL_RPC_BATCHED_STREAM_H_

#include <kj/async-io.h>
#include <kj/vector.h>

#include <cstddef>

namespace jayrill {

// The interfaces of kj have no virtual destructors, which is safe: kj::Own
// deletes the object as the type with which it was created.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Wraps a connection to save system calls: reads ahead into a buffer, and
/// joins all writes of one turn of the event loop into one.
///
/// Cap'n Proto reads the header and the body of each message separately and
/// writes each message separately. A call takes three messages, so in a small
/// process most of its cost is system calls.
///
/// A write completes when its bytes are buffered, unless too many bytes are
/// unsent; then it waits until they are sent. A write error is reported by the
/// next write; readers see it from the connection itself. For use on one kj
/// thread.
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

  /// Ends the writing side after all buffered bytes are sent.
  void shutdownWrite() override;
  void abortRead() override;

 private:
  /// Moves up to \p size bytes from the read buffer to \p buffer.
  /// \returns their number.
  std::size_t TakeBuffered(void* buffer, std::size_t size);
  /// Schedules a flush at the end of this turn unless one is scheduled or runs.
  /// \returns a promise that waits only when too many bytes are unsent.
  kj::Promise<void> ScheduleFlush();
  /// Sends pending_ until it is empty.
  kj::Promise<void> Flush();

  kj::Own<kj::AsyncIoStream> inner_;
  kj::Array<kj::byte> read_buffer_;
  std::size_t read_begin_ = 0;
  std::size_t read_end_ = 0;
  kj::Vector<kj::byte> pending_;  ///< To be sent by the next write.
  kj::Vector<kj::byte> sending_;  ///< Being sent by the current write.
  kj::Maybe<kj::Exception> write_error_;
  bool is_flushing_ = false;
  kj::ForkedPromise<void> flushed_ = nullptr;
  kj::Promise<void> shutdown_ = nullptr;
};

#pragma GCC diagnostic pop

}  // namespace jayrill

#endif  // JAYRILL_RPC_BATCHED_STREAM_H_
