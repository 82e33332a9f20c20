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

/// Passes everything on and counts the calls.
class counting_stream final : public kj::AsyncIoStream {
 public:
  struct counts {
    int reads = 0;
    int writes = 0;
    bool fails = false;
  };

  counting_stream(kj::Own<kj::AsyncIoStream> inner, counts& seen)
      : inner_(kj::mv(inner)), seen_(seen) {}

  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    ++seen_.reads;
    return inner_->tryRead(buffer, min_bytes, max_bytes);
  }
  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    ++seen_.writes;
    if (seen_.fails) {
      return KJ_EXCEPTION(DISCONNECTED, "reset");
    }
    return inner_->write(buffer, size);
  }
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    ++seen_.writes;
    return inner_->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return inner_->whenWriteDisconnected();
  }
  void shutdownWrite() override { inner_->shutdownWrite(); }

 private:
  kj::Own<kj::AsyncIoStream> inner_;
  counts& seen_;
};

#pragma GCC diagnostic pop

/// Both ends of a connection in one event loop.
struct connection {
  kj::EventLoop loop;
  kj::WaitScope scope{loop};
  kj::TwoWayPipe pipe = kj::newTwoWayPipe();
  counting_stream::counts seen;
  batched_stream near{kj::heap<counting_stream>(kj::mv(pipe.ends[0]), seen)};
  kj::Own<kj::AsyncIoStream> far = kj::mv(pipe.ends[1]);
};

bytes Sequence(std::size_t size) {
  bytes data(size);
  std::iota(data.begin(), data.end(), kj::byte{0});
  return data;
}

// Guards against one system call for each message of a turn.
TEST(batched_stream_test, WritesOnceInATurn) {
  connection link;
  const bytes data = Sequence(30);
  for (std::size_t i = 0; i < data.size(); i += 3) {
    link.near.write(&data[i], 3).wait(link.scope);
  }
  bytes received(data.size());
  link.far->read(received.data(), received.size()).wait(link.scope);
  EXPECT_EQ(received, data);
  EXPECT_EQ(link.seen.writes, 1);
}

// Guards against one system call for each part of a message.
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
  EXPECT_EQ(link.seen.reads, 1);
}

// Guards against bytes that are lost, doubled or out of order, for pieces of
// any size, larger than the read-ahead included.
RC_GTEST_PROP(batched_stream_property,
              KeepsTheOrderOfBytes,
              (std::vector<std::uint16_t> writes,
               std::vector<std::uint16_t> reads)) {
  constexpr std::size_t kMostBytes = 10'000;
  connection link;
  std::size_t size = 0;
  for (const std::size_t count : writes) {
    size += count % kMostBytes;
  }
  const bytes data = Sequence(size);
  auto written = kj::evalNow([&]() -> kj::Promise<void> {
    kj::Promise<void> last = kj::READY_NOW;
    std::size_t begin = 0;
    for (const std::size_t count : writes) {
      const std::size_t part = count % kMostBytes;
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
        reads.empty() ? size : 1 + reads[next++ % reads.size()] % kMostBytes;
    const std::size_t part = std::min(wanted, size - begin);
    reader.read(received.data() + begin, part).wait(link.scope);
    begin += part;
  }
  kj::byte end = 0;
  RC_ASSERT(reader.tryRead(&end, 1, 1).wait(link.scope) == 0U);
  RC_ASSERT(received == data);
}

// Guards against a connection that is broken and still takes messages.
TEST(batched_stream_test, WritersLearnOfAnError) {
  connection link;
  link.seen.fails = true;
  const bytes data = Sequence(3);
  link.near.write(data.data(), data.size()).wait(link.scope);
  // Runs everything that is due.
  kj::Promise<void> never = kj::NEVER_DONE;
  EXPECT_FALSE(never.poll(link.scope));
  EXPECT_ANY_THROW(link.near.write(data.data(), data.size()).wait(link.scope));
}

// Guards against a writer that fills the memory while its peer does not read.
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
