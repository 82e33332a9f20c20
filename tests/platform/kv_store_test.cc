#include "platform/kv_store.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "jayrill/config/translated_config_source.h"
#include "jayrill/store/qt_scheduler.h"
#include "platform_store_standin.h"
#include "qt_wait.h"

namespace jayrill::platform {
namespace {

using std::chrono::milliseconds;

class kv_store_test : public testing::Test {
 protected:
  kv_store_test() {
    WaitFor([] { return true; });  // Creates the QCoreApplication.
    standin_ = std::make_unique<platform_store_standin>();
    timers_ = std::make_unique<qt_scheduler>();
    store_ = std::make_unique<kv_store>(standin_->address(), *timers_, time_);
  }

  result<swap_result> Swap(const std::string& key,
                           std::uint64_t expected,
                           const std::string& value) {
    std::optional<result<swap_result>> answer;
    store_->CompareAndSwap(
        key, {expected}, value, std::nullopt,
        [&](const result<swap_result>& swap) { answer = swap; });
    EXPECT_TRUE(WaitFor([&] { return answer.has_value(); }));
    return *answer;
  }

  manual_clock time_;
  std::unique_ptr<platform_store_standin> standin_;
  std::unique_ptr<qt_scheduler> timers_;
  std::unique_ptr<kv_store> store_;
};

// Guards against a write that overwrites another client's write.
TEST_F(kv_store_test, SwapsOnlyTheExpectedRevision) {
  const auto first = Swap("a", 0, "one");
  ASSERT_TRUE(first);
  ASSERT_TRUE(first->swapped);
  const auto conflict = Swap("a", 0, "two");
  ASSERT_TRUE(conflict);
  EXPECT_FALSE(conflict->swapped);
  ASSERT_TRUE(conflict->found);
  EXPECT_EQ(conflict->found->value, "one");
  EXPECT_EQ(conflict->found->revision, first->revision);
}

// Guards against a write whose answer was lost being reported as without
// effect, and against a refused write being reported as of unknown outcome.
TEST_F(kv_store_test, TellsALostAnswerFromARefusal) {
  standin_->LoseNextAnswer();
  const auto lost = Swap("a", 0, "one");
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().kind, error_kind::kUnknownOutcome);
  standin_->SetDown(true);
  const auto down = Swap("a", 0, "two");
  ASSERT_FALSE(down);
  EXPECT_EQ(down.error().kind, error_kind::kUnavailable);
  standin_->SetDown(false);
  const auto conflict = Swap("a", 0, "three");
  ASSERT_TRUE(conflict);
  EXPECT_EQ(conflict->found->value, "one");
}

/// Records what a watch reports.
struct watch_recorder {
  std::map<std::string, std::string> values;
  std::uint64_t progress = 0;
  int interruptions = 0;

  store::watch_listener Listener() {
    return {
        [this](const store_event& event) {
          if (event.value) {
            values[event.key] = *event.value;
          } else {
            values.erase(event.key);
          }
        },
        [] {}, [this](const error&) { ++interruptions; },
        [this](const watch_progress& state) { progress = state.as_of.value; }};
  }
};

// Guards against a watch that misses a change or a deletion, also one that was
// made while the store was down and whose history the store has dropped.
TEST_F(kv_store_test, AWatchMissesNothing) {
  ASSERT_TRUE(Swap("op/a", 0, "1"));
  watch_recorder seen;
  const auto watch = store_->Watch("op/", seen.Listener());
  ASSERT_TRUE(WaitFor([&] { return seen.values.size() == 1; }));
  ASSERT_TRUE(Swap("op/b", 0, "2"));
  ASSERT_TRUE(Swap("other", 0, "3"));
  ASSERT_TRUE(WaitFor([&] { return seen.values.contains("op/b"); }));
  standin_->Delete("op/a");
  ASSERT_TRUE(WaitFor([&] { return !seen.values.contains("op/a"); }));
  standin_->SetDown(true);
  ASSERT_TRUE(WaitFor([&] { return seen.interruptions > 0; }));
  standin_->Put("op/c", "4");
  standin_->Delete("op/b");
  standin_->DropHistory();
  standin_->SetDown(false);
  ASSERT_TRUE(WaitFor([&] { return seen.values.contains("op/c"); }));
  EXPECT_EQ(seen.values.size(), 1U);
  EXPECT_TRUE(WaitFor([&] { return seen.progress == standin_->revision(); }));
}

struct late_answer_case {
  const char* name;
  milliseconds wait;  ///< From a poll to the read of its answer.
  bool has_change;
  bool confirms;
};

void PrintTo(const late_answer_case& param, std::ostream* out) {
  *out << param.name;
}

class late_answer_test : public kv_store_test,
                         public testing::WithParamInterface<late_answer_case> {
};

// Guards against an answer that was sent at the beginning of a pause and
// confirms what is known when it is read after it. An entry would start tasks
// under a configuration that has changed meanwhile, and would take a queue that
// was added for unknown.
TEST_P(late_answer_test, ConfirmsOnlyWhileItIsCurrent) {
  int answers = 0;
  int confirmed = 0;
  store::watch_listener listener;
  listener.on_event = [this](const store_event&) {
    time_.Advance(GetParam().wait);
  };
  listener.on_interrupted = [](const error&) {};
  listener.on_progress = [&answers](const watch_progress&) { ++answers; };
  listener.on_confirmed = [&confirmed] { ++confirmed; };
  const auto watch = store_->Watch("op/", std::move(listener));
  ASSERT_TRUE(WaitFor([&] { return answers > 0; }));
  ASSERT_EQ(confirmed, answers);
  if (GetParam().has_change) {
    standin_->Put("op/a", "1");
  } else {
    // A poll is on its way, which is answered after this.
    time_.Advance(GetParam().wait);
  }
  const int answers_before = answers;
  ASSERT_TRUE(WaitFor([&] { return answers > answers_before + 10; }));
  EXPECT_EQ(confirmed, GetParam().confirms ? answers : answers - 1);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    late_answer_test,
    testing::Values(
        late_answer_case{"on_time", milliseconds(700), false, true},
        late_answer_case{"short_pause", milliseconds(1500), false, false},
        late_answer_case{"long_pause", milliseconds(4600), false, false},
        late_answer_case{"change_on_a_slow_link", milliseconds(3000), true,
                         true},
        late_answer_case{"change_and_long_pause", milliseconds(4600), true,
                         false}),
    [](const auto& tested) { return tested.param.name; });

// Guards against an answer that cannot be read and so looks like an empty
// store: a withdrawn key would be in use again, and a record that exists would
// be taken as absent.
TEST_F(kv_store_test, AnUnreadableAnswerIsNoAbsence) {
  ASSERT_TRUE(Swap("op/a", 0, "1"));
  watch_recorder seen;
  int confirmed = 0;
  store::watch_listener listener = seen.Listener();
  listener.on_confirmed = [&confirmed] { ++confirmed; };
  const auto watch = store_->Watch("op/", std::move(listener));
  ASSERT_TRUE(WaitFor([&] { return confirmed > 0; }));
  standin_->SetUnreadable(true);
  std::optional<result<std::optional<store_entry>>> read;
  store_->Get("op/a", [&](result<std::optional<store_entry>> found) {
    read = std::move(found);
  });
  ASSERT_TRUE(WaitFor([&] { return read.has_value(); }));
  EXPECT_FALSE(read->has_value());
  const int confirmed_before = confirmed;
  const int interruptions_before = seen.interruptions;
  ASSERT_TRUE(
      WaitFor([&] { return seen.interruptions > interruptions_before + 1; }));
  EXPECT_LE(confirmed, confirmed_before + 1);
  EXPECT_EQ(seen.values.count("op/a"), 1U);
  std::optional<result<std::vector<store_entry>>> listed;
  store_->List("op/", [&](result<std::vector<store_entry>> found) {
    listed = std::move(found);
  });
  ASSERT_TRUE(WaitFor([&] { return listed.has_value(); }));
  EXPECT_FALSE(listed->has_value());
  standin_->SetUnreadable(false);
  standin_->Put("op/b", "2");
  EXPECT_TRUE(WaitFor([&] { return seen.values.contains("op/b"); }));
}

// Guards against a list that is read without end because a page does not begin
// after the last key, as with a key that is not encoded back to itself.
TEST_F(kv_store_test, AListThatRepeatsPagesEnds) {
  standin_->Put("op/a", "1");
  standin_->SetRepeatingPages(true);
  std::optional<result<std::vector<store_entry>>> listed;
  store_->List("op/", [&](result<std::vector<store_entry>> found) {
    listed = std::move(found);
  });
  ASSERT_TRUE(WaitFor(
      [&] { return listed.has_value() || standin_->pages_read() > 20; }));
  ASSERT_TRUE(listed.has_value());
  EXPECT_FALSE(listed->has_value());
  EXPECT_LE(standin_->pages_read(), 2);
}

struct odd_item {
  std::string name;
  QJsonObject shown;
};

class odd_item_test : public kv_store_test,
                      public testing::WithParamInterface<odd_item> {};

// Guards against one item that cannot be read and that hides the others or
// stops the watch, and against taking such an item for a deleted one.
TEST_P(odd_item_test, TheWatchGoesOn) {
  standin_->Put("op/a", "1");
  standin_->PutOdd("op/odd", GetParam().shown);
  standin_->Put("op/z", "2");
  watch_recorder seen;
  const auto watch = store_->Watch("op/", seen.Listener());
  ASSERT_TRUE(WaitFor([&] { return seen.values.contains("op/z"); }));
  EXPECT_TRUE(seen.values.contains("op/a"));
  QJsonObject shown = GetParam().shown;
  shown.insert(QStringLiteral("key"), QStringLiteral("op/a"));
  standin_->PutOdd("op/a", shown);
  standin_->Put("op/b", "3");
  ASSERT_TRUE(WaitFor([&] { return seen.values.contains("op/b"); }));
  standin_->DropHistory();
  standin_->Put("op/c", "4");
  standin_->Delete("op/z");
  standin_->DropHistory();
  ASSERT_TRUE(WaitFor([&] {
    return seen.values.contains("op/c") && !seen.values.contains("op/z");
  }));
  EXPECT_EQ(seen.values.at("op/a"), "1");
  EXPECT_EQ(seen.interruptions, 0);
  standin_->Put("op/a", "5");
  EXPECT_TRUE(WaitFor([&] { return seen.values.at("op/a") == "5"; }));
}

QJsonObject OddItem(const QJsonValue& value, const QJsonValue& revision) {
  return {{QStringLiteral("key"), QStringLiteral("op/odd")},
          {QStringLiteral("value"), value},
          {QStringLiteral("revision"), revision}};
}

INSTANTIATE_TEST_SUITE_P(
    table,
    odd_item_test,
    testing::Values(
        odd_item{"value_a_number", OddItem(7, 3)},
        odd_item{"value_missing", OddItem(QJsonValue::Undefined, 3)},
        odd_item{"revision_missing",
                 OddItem(QStringLiteral("MQ=="), QJsonValue::Undefined)},
        odd_item{"revision_a_text",
                 OddItem(QStringLiteral("MQ=="), QStringLiteral("3"))},
        odd_item{"revision_negative", OddItem(QStringLiteral("MQ=="), -1)},
        odd_item{"revision_fraction", OddItem(QStringLiteral("MQ=="), 0.5)},
        odd_item{"revision_1e308", OddItem(QStringLiteral("MQ=="), 1e308)}),
    [](const auto& param) { return param.param.name; });

/// Takes the value of `op/config` for the name of the only data centre that is
/// out of service. The value `bad` is invalid.
class single_data_centre_translator final : public config_translator {
 public:
  std::string Prefix() const override { return "op/"; }
  std::string OutPrefix() const override { return "op/evacuate/"; }
  result<cluster_config> Translate(const items& stored) const override {
    const auto found = stored.find("op/config");
    if (found == stored.end() || found->second == "bad") {
      return MakeError(error_kind::kInvalidArgument, "bad", "write another");
    }
    cluster_config config;
    config.data_centres[found->second].out = true;
    return config;
  }
};

// Guards against a configuration that returns to an older state: to a stale one
// that a session offers, or to none when the stored one is invalid. Also guards
// against a deletion that a restarted instance takes for an older state.
TEST_F(kv_store_test, ATranslatedConfigurationOnlyGrows) {
  standin_->Put("op/config", "north");
  std::vector<config_source::shared> adopted;
  int confirmed = 0;
  const single_data_centre_translator translator;
  translated_config_source config(
      *store_, translator,
      {[&](const config_source::shared& next) { adopted.push_back(next); },
       [&] { ++confirmed; }});
  ASSERT_TRUE(WaitFor([&] { return confirmed > 0; }));
  ASSERT_TRUE(config.current()->IsOut("north"));
  standin_->Put("op/config", "bad");
  standin_->Put("op/config", "south");
  ASSERT_TRUE(WaitFor([&] { return config.current()->IsOut("south"); }));
  // A session offers a configuration that the store no longer holds, under a
  // revision at which a key was deleted. The configuration in the store
  // replaces it under a higher revision.
  cluster_config stale;
  stale.revision.value = standin_->revision() + 1;
  stale.data_centres["west"].out = true;
  config.Offer(std::make_shared<const cluster_config>(stale));
  EXPECT_TRUE(config.current()->IsOut("west"));
  standin_->Put("unrelated", "x");
  standin_->Put("unrelated", "y");
  standin_->Put("op/other", "z");
  ASSERT_TRUE(WaitFor([&] { return config.current()->IsOut("south"); }));
  for (std::size_t i = 1; i < adopted.size(); ++i) {
    EXPECT_GT(adopted[i]->revision, adopted[i - 1]->revision);
  }
}

}  // namespace
}  // namespace jayrill::platform
