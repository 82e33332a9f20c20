#include "jayrill/cli/rollout_report.h"

#include <gtest/gtest.h>

#include <QJsonDocument>

#include "jayrill/cli/operator_client.h"

namespace jayrill {
namespace {

QJsonObject Parse(const char* text) {
  return QJsonDocument::fromJson(text).object();
}

struct force_case {
  const char* status;
  std::size_t in_force;
  std::size_t total;
  std::vector<std::string> behind;
  std::vector<std::string> silent;
};

class force_report_test : public testing::TestWithParam<force_case> {};

// Guards against a change that is reported as in force at a process that still
// has an older revision.
TEST_P(force_report_test, CountsProcesses) {
  const rollout_report report = ReadRollout(Parse(GetParam().status), 5);
  EXPECT_EQ(report.in_force, GetParam().in_force);
  EXPECT_EQ(report.total, GetParam().total);
  EXPECT_EQ(report.behind, GetParam().behind);
  EXPECT_EQ(report.silent, GetParam().silent);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    force_report_test,
    testing::Values(force_case{R"({"revision":5})", 1, 1, {}, {}},
                    force_case{R"({"revision":4})", 0, 1, {"entry"}, {}},
                    force_case{R"({"revision":5,"agents":[
                       {"id":"a","connected":true,"revision":6},
                       {"id":"b","connected":true,"revision":4},
                       {"id":"c","connected":false,"revision":5}]})",
                               2,
                               4,
                               {"agent b"},
                               {"agent c"}},
                    force_case{
                        R"({"revision":5,"entries":[{"id":"x","revision":5},
                       {"id":"y","revision":3}]})",
                        1,
                        2,
                        {"entry y"},
                        {}}));

// Guards against a conflict message that lacks the rejected or the current
// value.
TEST(operator_error_test, ShowsMessageRemedyAndBothValues) {
  const error failure = ReadError(
      409, Parse(R"({"error":{"message":"m","remedy":"r","code":"conflict",
                     "yours":{"out":true},"current":{"out":false}}})"));
  EXPECT_EQ(failure.kind, error_kind::kConflict);
  EXPECT_EQ(failure.remedy, "r");
  EXPECT_EQ(failure.message,
            "m\n  current: {\"out\":false}\n  yours: {\"out\":true}");
  EXPECT_FALSE(ReadError(500, {}).message.empty());
}

}  // namespace
}  // namespace jayrill
