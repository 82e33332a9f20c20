#include <gtest/gtest.h>

#include <QTimer>
#include <memory>
#include <string>

#include "jayrill/config/translated_config_source.h"
#include "jayrill/store/qt_scheduler.h"
#include "platform/kv_store.h"
#include "platform_store_standin.h"
#include "qt_wait.h"
#include "slow_link.h"

namespace jayrill::platform {
namespace {

constexpr qint64 kLinkBytesPerSecond = 1'000'000;
/// A value takes 0.4 s on the link.
constexpr std::size_t kValueBytes = 300'000;
/// This one takes 3.2 s, longer than the first limit of a list.
constexpr std::size_t kSlowValueBytes = 2'400'000;
constexpr int kVersions = 25;
constexpr int kVersionGapMs = 80;

/// What a watch has reported.
struct watched_state {
  std::string newest_config;
  bool is_out = false;
};

class slow_watch_test : public testing::Test {
 protected:
  slow_watch_test() {
    WaitFor([] { return true; });  // Creates the QCoreApplication.
    standin_ = std::make_unique<platform_store_standin>();
    standin_->SetKeepsVersions(true);
    link_ = std::make_unique<slow_link>(standin_->port(), kLinkBytesPerSecond);
    timers_ = std::make_unique<qt_scheduler>();
    store_ = std::make_unique<kv_store>(link_->address(), *timers_, time_);
    standin_->Put("op/config", "first");
  }

  std::unique_ptr<store::watch_handle> Watch(watched_state& state) {
    store::watch_listener listener;
    listener.on_event = [&state](const store_event& event) {
      if (event.key == "op/config") {
        state.newest_config = event.value.value_or("").substr(0, 10);
      } else {
        state.is_out = event.value.has_value();
      }
    };
    listener.on_confirmed = [] {};
    listener.on_interrupted = [](const error&) {};
    return store_->Watch("op/", std::move(listener));
  }

  /// Writes kVersions large configurations, kVersionGapMs apart, and takes a
  /// data centre out after the last one.
  void WriteVersions() {
    int version = 0;
    QTimer writer;
    QObject::connect(&writer, &QTimer::timeout, &writer, [&] {
      ++version;
      standin_->Put("op/config", "v" + std::to_string(version) + "." +
                                     std::string(kValueBytes, 'x'));
    });
    writer.start(kVersionGapMs);
    ASSERT_TRUE(WaitFor([&] { return version >= kVersions; }));
    standin_->Put("op/evacuate/east", "{}");
  }

  system_clock time_;
  std::unique_ptr<platform_store_standin> standin_;
  std::unique_ptr<slow_link> link_;
  std::unique_ptr<qt_scheduler> timers_;
  std::unique_ptr<kv_store> store_;
};

// Guards against a watch that asks again for all versions of a large value when
// they did not arrive in time: it never gets to the evacuation behind them.
TEST_F(slow_watch_test, GetsPastVersionsThatArriveFasterThanTheLinkCarries) {
  watched_state state;
  const auto watch = Watch(state);
  ASSERT_TRUE(WaitFor([&] { return state.newest_config == "first"; }));
  WriteVersions();
  const std::string last = "v" + std::to_string(kVersions) + ".";
  EXPECT_TRUE(WaitFor(
      [&] { return state.is_out && state.newest_config.starts_with(last); }));
}

/// Takes the keys for data centres and the lengths of their values for rules.
class out_translator final : public config_translator {
 public:
  std::string Prefix() const override { return "op/"; }
  std::string OutPrefix() const override { return "op/evacuate/"; }
  result<cluster_config> Translate(const items& stored) const override {
    cluster_config config;
    for (const auto& [key, value] : stored) {
      config.data_centres[key].out = key != "op/config";
      config.profiles[key].attempts = static_cast<std::uint32_t>(value.size());
    }
    return config;
  }
};

// Guards against an evacuation that waits behind a configuration that the link
// is still carrying, and against a list that fails at the same limit each time.
TEST_F(slow_watch_test, AnEvacuationDoesNotWaitBehindAConfiguration) {
  const out_translator translator;
  std::set<std::string> out;
  config_revision adopted;
  config_revision adopted_when_out;
  config_source::listener listener;
  listener.on_config = [&](const config_source::shared& config) {
    adopted = config->revision;
  };
  listener.on_confirmed = [] {};
  listener.on_out_list = [&](const out_list& list, steady_time) {
    if (list.data_centres != out) {
      out = list.data_centres;
      adopted_when_out = adopted;
    }
  };
  const translated_config_source source(*store_, translator,
                                        std::move(listener));
  ASSERT_TRUE(WaitFor([&] { return adopted.value > 0; }));
  standin_->Put("op/config", std::string(kSlowValueBytes, 'x'));
  const std::uint64_t configuration = standin_->revision();
  standin_->Put("op/evacuate/east", "{}");
  const std::uint64_t evacuation = standin_->revision();
  ASSERT_TRUE(WaitFor([&] { return out.contains("east"); }));
  EXPECT_LT(adopted_when_out.value, evacuation);
  standin_->Delete("op/evacuate/east");
  EXPECT_TRUE(WaitFor([&] { return out.empty(); }));
  EXPECT_TRUE(WaitFor([&] { return adopted.value >= configuration; }));
}

}  // namespace
}  // namespace jayrill::platform
