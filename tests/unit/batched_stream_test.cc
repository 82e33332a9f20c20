#include "jayrill/rpc/batched_stream.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <vector>

namespace jayrill {
namespace {

using bytes = std::vector<kj::byte>;

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Forwards reads and writes to another stream and counts them. Fails writes
/// while counts::fails is set.
class counting_stream final : public kj::AsyncIoStream {
 public:
  struct counts {
    int reads = 0;
    int writes = 0;
    bool fails = false;
  };

  counting_stream(kj::Own<kj::AsyncIoStream> inner, counts& calls)
      : inner_(kj::mv(inner)), calls_(calls) {}

  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    ++calls_.reads;
    return inner_->tryRead(buffer, min_bytes, max_bytes);
  }
  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    ++calls_.writes;
    if (calls_.fails) {
      return KJ_EXCEPTION(DISCONNECTED, "reset");
    }
    return inner_->write(buffer, size);
  }
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    ++calls_.writes;
    return inner_->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return inner_->whenWriteDisconnected();
  }
  void shutdownWrite() override { inner_->shutdownWrite(); }

 private:
  kj::Own<kj::AsyncIoStream> inner_;
  counts& calls_;
};

#pragma GCC diagnostic pop

/// Both ends of a connection in one event loop.
struct connection {
  kj::EventLoop loop;
  kj::WaitScope scope{loop};
  kj::TwoWayPipe pipe = kj::newTwoWayPipe();
  counting_stream::counts calls;
  batched_stream near{kj::heap<counting_stream>(kj::mv(pipe.ends[0]), calls)};
  kj::Own<kj::AsyncIoStream> far = kj::mv(pipe.ends[1]);
};

bytes Sequence(std::size_t size) {
  bytes data(size);
  std::iota(data.begin(), data.end(), kj::byte{0});
  return data;
}

// Guards against one system call per message: all messages of a turn of the
// event loop go into one write.
TEST(batched_stream_test, WritesOnceInATurn) {
  connection link;
  const bytes data = Sequence(30);
  for (std::size_t i = 0; i < data.size(); i += 3) {
    link.near.write(&data[i], 3).wait(link.scope);
  }
  bytes received(data.size());
  link.far->read(received.data(), received.size()).wait(link.scope);
  EXPECT_EQ(received, data);
  EXPECT_EQ(link.calls.writes, 1);
}

// Guards against one system call per part of a message: header and body are
// read at once.
TEST(batched_stream_test, ReadsAhead) {
  connection link;
  const bytes data = Sequence(64);
  auto written = link.far->write(data.data(), data.size());
  bytes received(data.size());
  for (std::size_t i = 0; i < data.size(); i += 8) {
    link.near.read(&received[i], 8).wait(link.scope);
  }
  written.wait(link.scope);
  EXPECT_EQ(received, data);
  EXPECT_EQ(link.calls.reads, 1);
}

// Guards against bytes that are lost, duplicated or out of order, for pieces of
// any size, including pieces larger than the read buffer.
RC_GTEST_PROP(batched_stream_property,
              KeepsTheOrderOfBytes,
              (std::vector<std::uint16_t> writes,
               std::vector<std::uint16_t> reads)) {
  constexpr std::size_t kMaxPieceBytes = 10'000;
  connection link;
  std::size_t size = 0;
  for (const std::size_t count : writes) {
    size += count % kMaxPieceBytes;
  }
  const bytes data = Sequence(size);
  auto written = kj::evalNow([&]() -> kj::Promise<void> {
    kj::Promise<void> last = kj::READY_NOW;
    std::size_t begin = 0;
    for (const std::size_t count : writes) {
      const std::size_t part = count % kMaxPieceBytes;
      last = last.then([&link, &data, begin, part] {
        return link.near.write(data.data() + begin, part);
      });
      begin += part;
    }
    return last;
  });
  written = written.then([&link] { link.near.shutdownWrite(); })
                .eagerlyEvaluate(nullptr);
  bytes received(size);
  batched_stream reader(kj::mv(link.far));
  std::size_t begin = 0;
  std::size_t next = 0;
  while (begin < size) {
    const std::size_t wanted =
        reads.empty() ? size
                      : 1 + reads[next++ % reads.size()] % kMaxPieceBytes;
    const std::size_t part = std::min(wanted, size - begin);
    reader.read(received.data() + begin, part).wait(link.scope);
    begin += part;
  }
  kj::byte end = 0;
  RC_ASSERT(reader.tryRead(&end, 1, 1).wait(link.scope) == 0U);
  RC_ASSERT(received == data);
}

// Guards against a stream that accepts messages after its connection has
// failed.
TEST(batched_stream_test, WritersLearnOfAnError) {
  connection link;
  link.calls.fails = true;
  const bytes data = Sequence(3);
  link.near.write(data.data(), data.size()).wait(link.scope);
  // Runs all events that are ready, the flush included.
  kj::Promise<void> never = kj::NEVER_DONE;
  EXPECT_FALSE(never.poll(link.scope));
  EXPECT_ANY_THROW(link.near.write(data.data(), data.size()).wait(link.scope));
}

// Guards against a buffer that grows without limit while the peer does not
// read.
TEST(batched_stream_test, WritersWaitForASlowPeer) {
  connection link;
  const bytes data = Sequence(std::size_t{100} * 1024);
  auto written = link.near.write(data.data(), data.size());
  EXPECT_FALSE(written.poll(link.scope));
  bytes received(data.size());
  link.far->read(received.data(), received.size()).wait(link.scope);
  written.wait(link.scope);
  EXPECT_EQ(received, data);
}

}  // namespace
}  // namespace jayrill
