#include <gtest/gtest.h>

#include <memory>
#include <ostream>
#include <set>
#include <string>

#include "jayrill/config/translated_config_source.h"
#include "jayrill/store/qt_scheduler.h"
#include "platform/kv_store.h"
#include "platform_store_standin.h"
#include "qt_wait.h"

namespace jayrill::platform {
namespace {

/// Takes the value of `op/config` for the only host of a route.
class host_translator final : public config_translator {
 public:
  std::string Prefix() const override { return "op/"; }
  std::string OutPrefix() const override { return "op/evacuate/"; }
  result<cluster_config> Translate(const items& stored) const override {
    cluster_config config;
    const auto found = stored.find("op/config");
    config.routes["r"].host = found == stored.end() ? "" : found->second;
    return config;
  }
};

/// What the operator writes between the two pages of a list, of which the first
/// holds the configuration.
struct page_case {
  const char* name;
  void (*write)(platform_store_standin&);
  std::set<std::string> out;
};

void PrintTo(const page_case& param, std::ostream* out) {
  *out << param.name;
}

class paged_list_test : public testing::TestWithParam<page_case> {
 protected:
  paged_list_test() {
    WaitFor([] { return true; });  // Creates the QCoreApplication.
    standin_ = std::make_unique<platform_store_standin>();
    timers_ = std::make_unique<qt_scheduler>();
    store_ = std::make_unique<kv_store>(standin_->address(), *timers_, time_);
  }

  system_clock time_;
  std::unique_ptr<platform_store_standin> standin_;
  std::unique_ptr<qt_scheduler> timers_;
  std::unique_ptr<kv_store> store_;
};

// Guards against a configuration that was read before it changed and stays in
// force under the revision of a newer item, which is on the next page of the
// list.
TEST_P(paged_list_test, AListOfTwoPagesIsNoSnapshot) {
  standin_->Put("op/config", "first");
  standin_->Put("op/evacuate/west", "{}");
  standin_->SetPages(1, [this] {
    standin_->Put("op/config", "second");
    GetParam().write(*standin_);
  });
  std::set<std::string> out;
  std::string first_host;
  config_source::listener listener;
  listener.on_config = [&](const config_source::shared& config) {
    if (first_host.empty()) {
      first_host = config->routes.at("r").host;
    }
  };
  listener.on_confirmed = [] {};
  listener.on_out_list = [&](const out_list& list, steady_time) {
    out = list.data_centres;
  };
  const host_translator translator;
  const translated_config_source source(*store_, translator,
                                        std::move(listener));
  ASSERT_TRUE(WaitFor([&] { return !first_host.empty(); }));
  EXPECT_TRUE(WaitFor([&] {
    return source.current()->revision.value > 0 &&
           source.current()->routes.at("r").host == "second";
  }));
  EXPECT_TRUE(WaitFor([&] { return out == GetParam().out; }));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    paged_list_test,
    testing::Values(
        page_case{"nothing_more", [](platform_store_standin&) {}, {"west"}},
        page_case{"an_evacuation",
                  [](platform_store_standin& store) {
                    store.Put("op/evacuate/east", "{}");
                  },
                  {"east", "west"}},
        page_case{"an_evacuation_again",
                  [](platform_store_standin& store) {
                    store.Put("op/evacuate/west", "{}");
                  },
                  {"west"}},
        page_case{"the_end_of_one",
                  [](platform_store_standin& store) {
                    store.Delete("op/evacuate/west");
                  },
                  {}},
        page_case{
            "another_item",
            [](platform_store_standin& store) { store.Put("op/wave/1", "{}"); },
            {"west"}}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace jayrill::platform
