#include "jayrill/agent/entry_link.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <kj/timer.h>

#include <chrono>
#include <string>
#include <thread>

#include "agent_core_rig.h"
#include "jayrill/base/random_source.h"

namespace jayrill {
namespace {

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// The address of an instance without power: connections never complete.
class silent_address final : public kj::NetworkAddress {
 public:
  explicit silent_address(int& dials) : dials_(dials) {}

  kj::Promise<kj::Own<kj::AsyncIoStream>> connect() override {
    ++dials_;
    return kj::NEVER_DONE;
  }
  kj::Own<kj::ConnectionReceiver> listen() override {
    KJ_UNIMPLEMENTED("not needed");
  }
  kj::Own<kj::NetworkAddress> clone() override {
    return kj::heap<silent_address>(dials_);
  }
  kj::String toString() override { return kj::str("silent"); }

 private:
  int& dials_;
};

class silent_network final : public kj::Network {
 public:
  kj::Promise<kj::Own<kj::NetworkAddress>> parseAddress(
      kj::StringPtr /*address*/,
      kj::uint /*port*/) override {
    return kj::Own<kj::NetworkAddress>(kj::heap<silent_address>(dials));
  }
  kj::Own<kj::NetworkAddress> getSockaddr(const void* /*address*/,
                                          kj::uint /*size*/) override {
    KJ_UNIMPLEMENTED("not needed");
  }
  kj::Own<kj::Network> restrictPeers(
      kj::ArrayPtr<const kj::StringPtr> /*allow*/,
      kj::ArrayPtr<const kj::StringPtr> /*deny*/) override {
    KJ_UNIMPLEMENTED("not needed");
  }

  int dials = 0;
};

/// Provides a silent network and a timer that the test advances.
class silent_provider final : public kj::AsyncIoProvider {
 public:
  kj::OneWayPipe newOneWayPipe() override { return kj::newOneWayPipe(); }
  kj::TwoWayPipe newTwoWayPipe() override { return kj::newTwoWayPipe(); }
  kj::Network& getNetwork() override { return network; }
  PipeThread newPipeThread(
      kj::Function<void(kj::AsyncIoProvider&,
                        kj::AsyncIoStream&,
                        kj::WaitScope&)> /*start*/) override {
    KJ_UNIMPLEMENTED("not needed");
  }
  kj::Timer& getTimer() override { return timer; }

  silent_network network;
  kj::TimerImpl timer{kj::origin<kj::TimePoint>()};
};

#pragma GCC diagnostic pop

/// What a link shares with the others of its agent.
struct link_rig {
  explicit link_rig(kj::AsyncIoProvider& io)
      : shared{settings, agent.time, incarnation{2}, io,
               random,   agent.core, [] {}} {}

  core_rig agent;
  const agent_settings settings = Settings();
  random_source random{1};
  entry_link::context shared;
};

// Guards against an agent that waits for the kernel to repeat the SYN to an
// entry that had no power when the agent dialled. The kernel repeats it after
// 1 s and then 2 s, and until then an entry that has returned has no agents.
TEST(entry_link_test, DialsAgainWhileNothingAnswers) {
  kj::EventLoop loop;
  kj::WaitScope scope(loop);
  silent_provider io;
  link_rig rig(io);
  entry_link link("10.0.0.1:1", rig.shared);
  link.Start();
  kj::Promise<void> never = kj::NEVER_DONE;
  for (int step = 0; step < 50; ++step) {
    never.poll(scope);  // Runs all events that are ready.
    io.timer.advanceTo(io.timer.now() + 20 * kj::MILLISECONDS);
  }
  EXPECT_GE(io.network.dials, 3);
}

class odd_address_test : public testing::TestWithParam<std::string> {};

// Guards against an address from the list of entries that ends the agent, that
// is dialled without pause, or that keeps a link from being closed.
TEST_P(odd_address_test, IsDialledInVain) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  link_rig rig(*io.provider);
  {
    entry_link link(GetParam(), rig.shared);
    link.Start();
    io.provider->getTimer()
        .afterDelay(250 * kj::MILLISECONDS)
        .wait(io.waitScope);
    EXPECT_FALSE(link.connected());
  }
  io.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(io.waitScope);
}

// Guards against an unknown host name whose lookup ends just when the link is
// closed: the thread of the lookup then leaves its failure to the agent's.
TEST(entry_link_test, ClosesWhenALookupHasJustFailed) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  link_rig rig(*io.provider);
  entry_link link("256.0.0.1:1", rig.shared);
  link.Start();
  // The lookup begins, and fails before the event loop looks for its end.
  kj::evalLast([] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }).wait(io.waitScope);
}

INSTANTIATE_TEST_SUITE_P(all,
                         odd_address_test,
                         testing::Values("",
                                         ":",
                                         "127.0.0.1",
                                         "127.0.0.1:",
                                         "127.0.0.1:0",
                                         "127.0.0.1:65536",
                                         "127.0.0.1:99999999999999999999",
                                         "127.0.0.1:-1",
                                         "127.0.0.1:1e3",
                                         "256.0.0.1:1",
                                         "[::1",
                                         "[::1]:65536",
                                         "[]:1",
                                         "*",
                                         "*:1",
                                         "0.0.0.0:1",
                                         "unix:",
                                         "unix:/",
                                         "unix:" + std::string(5000, 'x'),
                                         "unix-abstract:" +
                                             std::string(5000, 'x'),
                                         "nowhere.invalid:1",
                                         "a b:1",
                                         "\xff\xfe:1",
                                         std::string("127.0.0.1\0:1", 12),
                                         std::string(1U << 20U, '1') + ":1"));

}  // namespace
}  // namespace jayrill
