#include "jayrill/store.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jayrill/base.h"
#include "qt_wait.h"
#include "standin_server.h"

namespace jayrill {
namespace {

/// A store with controllable faults. Each test runs with both implementations,
/// which must behave alike.
struct store_under_test {
  virtual ~store_under_test() = default;
  virtual store& client() = 0;
  virtual void SetDown(bool down) = 0;
  virtual void LoseNextAnswer() = 0;
};

struct memory_under_test final : store_under_test {
  store& client() override { return backing; }
  void SetDown(bool down) override { backing.set_down(down); }
  void LoseNextAnswer() override {
    backing.set_fault_plan([this](memory_store::operation) {
      backing.set_fault_plan(nullptr);
      return store_fault{store_fault::kind::kAnswerLost, {}, {}};
    });
  }
  qt_scheduler timers;
  system_clock time;
  memory_store backing{timers, time};
};

struct etcd_under_test final : store_under_test {
  // The first endpoint refuses connections, so that each test also checks that
  // calls go on to the next one.
  etcd_under_test()
      : backing(timers,
                {{"127.0.0.1:1",
                  "127.0.0.1:" + std::to_string(server.Listen(0))}}) {}
  store& client() override { return backing; }
  void SetDown(bool down) override { server.set_mode({.down = down}); }
  // Only the first answer is lost: Qt resends the request by itself, up to
  // three times in all.
  void LoseNextAnswer() override { server.set_mode({.lose_answers = 1}); }
  standin::standin_server server{1};
  qt_scheduler timers;
  etcd_store backing;
};

using make_store = std::unique_ptr<store_under_test> (*)();

template <typename T>
std::unique_ptr<store_under_test> Make() {
  return std::make_unique<T>();
}

template <typename T, typename Call>
result<T> Await(Call call) {
  std::optional<result<T>> answer;
  call([&](const result<T>& got) { answer = got; });
  EXPECT_FALSE(answer.has_value()) << "the callback ran inside the call";
  EXPECT_TRUE(WaitFor([&] { return answer.has_value(); }));
  return *answer;
}

class store_test : public testing::TestWithParam<make_store> {
 protected:
  store_test() {
    WaitFor([] { return true; });  // Creates the QCoreApplication.
    under_test_ = GetParam()();
  }

  store& client() { return under_test_->client(); }

  result<swap_result> Swap(const std::string& key,
                           store_revision expected,
                           std::optional<std::string> value,
                           std::optional<lease_id> lease = std::nullopt) {
    return Await<swap_result>([&](auto done) {
      client().CompareAndSwap(key, expected, value, lease, done);
    });
  }

  result<std::optional<store_entry>> Get(const std::string& key) {
    return Await<std::optional<store_entry>>(
        [&](auto done) { client().Get(key, done); });
  }

  std::unique_ptr<store_under_test> under_test_;
};

// Guards against overwriting a value that the writer has not seen, and against
// bytes that change when they are stored and read back.
TEST_P(store_test, ComparesBeforeItWrites) {
  const std::string bytes("\0\xff\n\"", 4);
  EXPECT_EQ(*Get("/k"), std::nullopt);
  const auto first = Swap("/k", {}, bytes);
  ASSERT_TRUE(first && first->swapped);
  EXPECT_EQ(*Get("/k"), (store_entry{"/k", bytes, first->revision}));
  const auto refused = Swap("/k", {}, "other");
  ASSERT_TRUE(refused && !refused->swapped);
  EXPECT_EQ(refused->found, (store_entry{"/k", bytes, first->revision}));
  EXPECT_TRUE(Swap("/k/2", {}, "x")->swapped);
  EXPECT_TRUE(Swap("/l", {}, "y")->swapped);
  const auto listed = Await<std::vector<store_entry>>(
      [&](auto done) { client().List("/k", done); });
  ASSERT_EQ(listed->size(), 2U);
  EXPECT_EQ(listed->at(1).value, "x");
  EXPECT_TRUE(Swap("/k", first->revision, std::nullopt)->swapped);
  EXPECT_EQ(*Get("/k"), std::nullopt);
}

// Guards against reporting a write that took effect as kUnavailable, and
// against a read that never ends while the store is down.
TEST_P(store_test, TellsUnknownOutcomeFromUnavailable) {
  under_test_->LoseNextAnswer();
  EXPECT_EQ(Swap("/k", {}, "v").error().kind, error_kind::kUnknownOutcome);
  EXPECT_EQ((*Get("/k"))->value, "v");
  under_test_->SetDown(true);
  EXPECT_EQ(Get("/k").error().kind, error_kind::kUnavailable);
  EXPECT_FALSE(Swap("/k", {}, "w").has_value());
  under_test_->SetDown(false);
  EXPECT_EQ((*Get("/k"))->value, "v");
}

// Guards against a lease that never expires, keys that stay after their lease
// has ended, and writes with a lease that has ended.
TEST_P(store_test, LeaseTakesItsKeysAlong) {
  const auto grant = [&] {
    return *Await<lease_id>(
        [&](auto done) { client().GrantLease(std::chrono::seconds(1), done); });
  };
  const auto renew = [&](lease_id lease) {
    return Await<std::chrono::seconds>(
        [&](auto done) { client().KeepAlive(lease, done); });
  };
  const lease_id lease = grant();
  EXPECT_EQ(*renew(lease), std::chrono::seconds(1));
  EXPECT_TRUE(Swap("/k", {}, "v", lease)->swapped);
  EXPECT_TRUE(WaitFor([&] { return !*Get("/k"); }));
  EXPECT_EQ(renew(lease).error().kind, error_kind::kNotFound);
  EXPECT_EQ(Swap("/k", {}, "v", lease).error().kind, error_kind::kNotFound);
}

// Guards against changes that a watch misses, also those made during an outage
// of the store, and against confirming a view that is not up to date.
TEST_P(store_test, WatchMissesNothing) {
  std::map<std::string, std::string> view;
  int confirmed = 0;
  int interrupted = 0;
  const auto kept = Swap("/w/kept", {}, "1");
  const auto gone = Swap("/w/gone", {}, "1");
  EXPECT_TRUE(Swap("/other", {}, "1")->swapped);
  auto handle = client().Watch(
      "/w/", {[&](const store_event& event) {
                if (event.value) {
                  view[event.key] = *event.value;
                } else {
                  view.erase(event.key);
                }
              },
              [&] { ++confirmed; }, [&](const error&) { ++interrupted; }});
  EXPECT_TRUE(WaitFor([&] { return confirmed > 0; }));
  EXPECT_EQ(view.size(), 2U);
  EXPECT_TRUE(Swap("/w/new", {}, "2")->swapped);
  EXPECT_TRUE(WaitFor([&] { return view.size() == 3; }));
  const int before = confirmed;
  EXPECT_TRUE(WaitFor([&] { return confirmed > before + 1; }));
  EXPECT_TRUE(Swap("/w/gone", gone->revision, std::nullopt)->swapped);
  EXPECT_TRUE(WaitFor([&] { return view.size() == 2; }));
  under_test_->SetDown(true);
  EXPECT_TRUE(WaitFor([&] { return interrupted > 0; }));
  const int last = confirmed;
  const int outage = interrupted;
  under_test_->SetDown(false);
  EXPECT_TRUE(Swap("/w/kept", kept->revision, "3")->swapped);
  EXPECT_TRUE(WaitFor([&] { return view["/w/kept"] == "3"; }));
  EXPECT_TRUE(WaitFor([&] { return confirmed > last; }));
  EXPECT_GE(outage, 1);
  handle.reset();
  const auto size = view.size();
  EXPECT_TRUE(Swap("/w/late", {}, "4")->swapped);
  EXPECT_TRUE(Get("/w/late").has_value());
  EXPECT_EQ(view.size(), size);
}

INSTANTIATE_TEST_SUITE_P(
    all,
    store_test,
    testing::Values(&Make<memory_under_test>, &Make<etcd_under_test>),
    [](const testing::TestParamInfo<make_store>& instance) {
      return instance.index == 0 ? "memory" : "etcd";
    });

// Guards against waiting for an answer without a time limit, and against
// reporting a refused connection, which has no effect, as kUnknownOutcome.
TEST(etcd_store_test, BoundsCallsAndKnowsRefusedConnections) {
  WaitFor([] { return true; });
  standin::standin_server server(1);
  qt_scheduler timers;
  const std::string address = "127.0.0.1:" + std::to_string(server.Listen(0));
  etcd_store slow(timers, {{address}, std::chrono::milliseconds(50)});
  etcd_store refused(timers, {{"127.0.0.1:1"}});
  const auto write = [](store& client) {
    return Await<swap_result>([&](auto done) {
      client.CompareAndSwap("/k", {}, "v", std::nullopt, done);
    });
  };
  EXPECT_EQ(write(refused).error().kind, error_kind::kUnavailable);
  server.set_mode({.delay_ms = 300});
  EXPECT_EQ(write(slow).error().kind, error_kind::kUnknownOutcome);
  server.set_mode({.error_rate = 1});
  etcd_store failing(timers, {{address}});
  EXPECT_EQ(write(failing).error().kind, error_kind::kUnknownOutcome);
  server.set_mode({});
  // The write takes effect although its caller timed out.
  EXPECT_TRUE(WaitFor([&] {
    const auto got = Await<std::optional<store_entry>>(
        [&](auto done) { failing.Get("/k", done); });
    return got && got->has_value();
  }));
}

}  // namespace
}  // namespace jayrill
