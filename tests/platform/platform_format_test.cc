#include <gtest/gtest.h>

#include <QJsonDocument>
#include <string>

#include "platform/platform.h"
#include "queue_request.h"

namespace jayrill::platform {
namespace {

// Guards against a route, a limit or an evacuation that is not translated.
TEST(config_format_test, ReadsRoutesProfilesAndEvacuations) {
  const auto config = config_format().Translate({{"op/config", kConfig},
                                                 {"op/evacuate/north-a", "{}"},
                                                 {"op/wave/1", "{}"}});
  ASSERT_TRUE(config);
  EXPECT_EQ(config->routes.at("r-a").service, "s1");
  EXPECT_EQ(config->routes.at("r-a").profile, "r-a");
  const profile& limits = config->profiles.at("r-a");
  EXPECT_EQ(limits.attempts, 2U);
  EXPECT_DOUBLE_EQ(limits.slack_factor, 1.6);
  EXPECT_EQ(limits.target_latency, std::chrono::milliseconds(60));
  EXPECT_LT(limits.urgency, config->profiles.at("r-b").urgency);
  EXPECT_TRUE(config->IsOut("north-a"));
  EXPECT_EQ(*config->FindRoute("h.example", "/p/long/x"), "r-b");
  EXPECT_EQ(*config->FindRoute("h.example", "/p/x"), "r-a");
  EXPECT_EQ(config->FindRoute("other.example", "/p/x"), nullptr);
}

struct odd_route {
  std::string name;
  std::string field;  ///< As in kConfig.
  std::string replacement;
  /// Urgency of the route, which is between 0 and 100.
  std::uint32_t urgency = 0;
  std::uint32_t attempts = 0;
};

class odd_route_test : public testing::TestWithParam<odd_route> {};

// Guards against a number out of range that turns the most urgent route into
// the least urgent one or that disables this or the other routes.
TEST_P(odd_route_test, KeepsTheRoutes) {
  std::string text = kConfig;
  const std::size_t position = text.find(GetParam().field);
  ASSERT_NE(position, std::string::npos);
  text.replace(position, GetParam().field.size(), GetParam().replacement);
  const auto config = config_format().Translate({{"op/config", text}});
  ASSERT_TRUE(config);
  ASSERT_EQ(config->routes.size(), 2U);
  const profile& limits = config->profiles.at("r-a");
  EXPECT_EQ(limits.urgency, GetParam().urgency);
  EXPECT_EQ(limits.attempts, GetParam().attempts);
  EXPECT_GE(limits.slack_factor, 0.0);
  EXPECT_GE(limits.target_latency.count(), 0);
}

constexpr char kPriority[] = R"("priority":1)";
constexpr char kAttempts[] = R"("max_attempts":2)";
constexpr char kSlack[] = R"("slack_factor":1.6)";
constexpr char kLatency[] = R"("target_latency_ms":60)";

INSTANTIATE_TEST_SUITE_P(
    table,
    odd_route_test,
    testing::Values(
        odd_route{"priority_1e9", kPriority, R"("priority":1000000000)", 0, 2},
        odd_route{"priority_2_to_31_less_1", kPriority,
                  R"("priority":2147483647)", 0, 2},
        odd_route{"priority_minus_1e9", kPriority, R"("priority":-1000000000)",
                  100, 2},
        odd_route{"priority_minus_2_to_31", kPriority,
                  R"("priority":-2147483648)", 100, 2},
        odd_route{"priority_2_to_64", kPriority,
                  R"("priority":18446744073709551616)", 50, 2},
        odd_route{"priority_a_text", kPriority, R"("priority":"1")", 50, 2},
        odd_route{"attempts_negative", kAttempts, R"("max_attempts":-1)", 45,
                  1},
        odd_route{"attempts_1e308", kAttempts, R"("max_attempts":1e308)", 45,
                  1},
        odd_route{"slack_1e308", kSlack, R"("slack_factor":1e308)", 45, 2},
        odd_route{"slack_negative", kSlack, R"("slack_factor":-1e308)", 45, 2},
        odd_route{"latency_2_to_53", kLatency,
                  R"("target_latency_ms":9007199254740992)", 45, 2},
        odd_route{"latency_negative", kLatency, R"("target_latency_ms":-1)", 45,
                  2},
        odd_route{
            "nested_500", R"("limits":{})",
            R"("limits":)" + std::string(500, '[') + std::string(500, ']'), 45,
            2}),
    [](const auto& param) { return param.param.name; });

struct bad_config {
  std::string name;
  config_translator::items items;
};

class bad_config_test : public testing::TestWithParam<bad_config> {};

// Guards against an invalid configuration that removes all routes.
TEST_P(bad_config_test, IsAnError) {
  EXPECT_FALSE(config_format().Translate(GetParam().items));
}

INSTANTIATE_TEST_SUITE_P(
    table,
    bad_config_test,
    testing::Values(bad_config{"missing", {}},
                    bad_config{"not_json", {{"op/config", "\xff\xfe{"}}},
                    bad_config{"no_routes", {{"op/config", "{}"}}},
                    bad_config{
                        "nested_2000",
                        {{"op/config", R"({"routes":[],"a":)" +
                                           std::string(2000, '[') +
                                           std::string(2000, ']') + "}"}}},
                    bad_config{"number_1e999",
                               {{"op/config", R"({"routes":[],"a":1e999})"}}},
                    bad_config{"routes_of_another_type",
                               {{"op/config", R"({"routes":7})"}}}),
    [](const auto& param) { return param.param.name; });

// Guards against fields of a job that are read under the wrong name.
TEST(queue_format_test, ReadsAJob) {
  const auto job = queue_format().Decode(
      Request("/p/5c0e7a21d94b36f8",
              R"({"spec":"do it","phases":[{"count":3,"cpu":500,"mem_mb":256,)"
              R"("estimate_ms":900}],"best_effort":true})"),
      TestConfig());
  ASSERT_TRUE(job) << job.error().message;
  EXPECT_EQ(job->name, "5c0e7a21d94b36f8");
  EXPECT_EQ(job->service, "s1");
  EXPECT_EQ(job->profile, "r-a");
  EXPECT_EQ(job->deadline, std::chrono::milliseconds(1800));
  EXPECT_TRUE(job->repeatable);
  ASSERT_EQ(job->tasks.size(), 3U);
  EXPECT_EQ(job->tasks[0].payload, "do it");
  EXPECT_EQ(job->tasks[0].needs, (resource_amount{500, 256, 0}));
  EXPECT_EQ(job->tasks[0].declared, std::chrono::milliseconds(900));
}

struct bad_job {
  std::string name;
  std::string path;
  std::string body;
  int status = 0;
};

class bad_job_test : public testing::TestWithParam<bad_job> {};

// Guards against running a job that cannot be run as requested, and against a
// refusal with the wrong status.
TEST_P(bad_job_test, IsRefusedAsNotRun) {
  const queue_format format;
  const auto job =
      format.Decode(Request(GetParam().path, GetParam().body), TestConfig());
  ASSERT_FALSE(job);
  EXPECT_EQ(job.error().effect, job_effect::kNotRun);
  EXPECT_EQ(format.Encode("", tl::unexpected(job.error())).status,
            GetParam().status);
}

std::string JobWithPhase(const std::string& fields) {
  return R"({"spec":"x","phases":[{)" + fields + R"(}],"best_effort":true})";
}

INSTANTIATE_TEST_SUITE_P(
    table,
    bad_job_test,
    testing::Values(bad_job{"no_route", "/q/5c0e7a21d94b36f8",
                            JobWithPhase(R"("count":1)"), 404},
                    bad_job{"no_id", "/p/", JobWithPhase(R"("count":1)"), 400},
                    bad_job{"bad_id", "/p/5c0e7a21d94b36g8",
                            JobWithPhase(R"("count":1)"), 400},
                    bad_job{"not_json", "/p/5c0e7a21d94b36f8", "\xff{", 400},
                    bad_job{"lone_surrogate", "/p/5c0e7a21d94b36f8",
                            R"({"spec":"a\ud800b","phases":[{"count":1}],)"
                            R"("best_effort":true})",
                            400},
                    bad_job{"no_tasks", "/p/5c0e7a21d94b36f8",
                            JobWithPhase(R"("count":0)"), 400},
                    bad_job{"too_many_tasks", "/p/5c0e7a21d94b36f8",
                            JobWithPhase(R"("count":1901)"), 400},
                    bad_job{"text_for_number", "/p/5c0e7a21d94b36f8",
                            JobWithPhase(R"("count":"4")"), 400},
                    bad_job{"negative_number", "/p/5c0e7a21d94b36f8",
                            JobWithPhase(R"("count":1,"cpu":-1)"), 400},
                    bad_job{"stored_job", "/p/5c0e7a21d94b36f8",
                            R"({"spec":"x","phases":[{"count":1}]})", 503},
                    bad_job{"gang", "/p/5c0e7a21d94b36f8",
                            JobWithPhase(R"("count":1,"gang":true)"), 503}),
    [](const auto& param) { return param.param.name; });

struct outcome_case {
  std::string name;
  job_outcome outcome;
  int status = 0;
};

class answer_test : public testing::TestWithParam<outcome_case> {};

// Guards against a 503 for a job of which a task may have run, because clients
// then send it again, and against a 503 without Retry-After.
TEST_P(answer_test, HasTheStatusThatIsTrue) {
  const http_response response = queue_format().Encode("", GetParam().outcome);
  EXPECT_EQ(response.status, GetParam().status);
  EXPECT_EQ(response.retry_after.count() > 0, response.status == 503);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    answer_test,
    testing::Values(
        outcome_case{"whole", job_answer{{"null"}}, 200},
        outcome_case{
            "failed",
            MakeJobFailure(job_effect::kRanAndFailed, "task_failed", "", ""),
            200},
        outcome_case{"given_up",
                     MakeJobFailure(job_effect::kRanAndFailed,
                                    kCrashingTaskCode,
                                    "",
                                    ""),
                     200},
        outcome_case{"not_run",
                     MakeJobFailure(job_effect::kNotRun, "overloaded", "", ""),
                     503},
        outcome_case{
            "may_have_run",
            MakeJobFailure(job_effect::kMayHaveRun, "task_lost", "", ""), 504},
        outcome_case{"ran_until_deadline",
                     MakeJobFailure(job_effect::kRanAndFailed,
                                    "deadline_exceeded",
                                    "",
                                    ""),
                     504}),
    [](const auto& param) { return param.param.name; });

constexpr char kHeartbeat[] =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"east",)"
    R"("version":"v1","capacity":8,"state":"ready",)"
    R"("cold_remaining_ms":40,"headroom":{"cpu":16000,"mem_mb":32768,"gpu":1},)"
    R"("labels":["a","r1"],"born":1787822405666,"sequence":4})";

constexpr wall_time kNow(std::chrono::milliseconds(1787822499000));

// Guards against wrong resources, address or start time of a minion.
TEST(instance_beat_test, ReadsAHeartbeat) {
  const auto heartbeat = ParseHeartbeat("i-1", kHeartbeat, kNow);
  ASSERT_TRUE(heartbeat) << heartbeat.error().message;
  EXPECT_EQ(heartbeat->sequence, 4U);
  EXPECT_EQ(heartbeat->instance, "i-1");
  EXPECT_EQ(heartbeat->life, 1787822405666U);
  EXPECT_EQ(heartbeat->host, "10.0.0.9");
  EXPECT_EQ(heartbeat->port, 8080);
  EXPECT_EQ(heartbeat->rack, "r1");
  EXPECT_EQ(heartbeat->room, (resource_amount{16000, 32768, 1, true}));
  EXPECT_FALSE(heartbeat->draining);
}

struct place_case {
  std::string name;
  std::string field;  ///< Of the phase.
  std::string rack;
  bool same_rack;
  std::string code;  ///< Of the refusal; empty: the job is taken.
};

class place_test : public testing::TestWithParam<place_case> {};

// Guards against jobs that are refused for the rack of their data or for their
// group, and against a place that is lost on the way to placement.
TEST_P(place_test, ReadsRackAndGroup) {
  const auto spec = queue_format().Decode(
      Request(
          "/p/5c0e7a21d94b36f8",
          R"({"spec":"x","best_effort":true,"phases":[{"count":2,"cpu":500)" +
              GetParam().field + "}]}"),
      TestConfig());
  EXPECT_EQ(spec ? "" : spec.error().code, GetParam().code);
  if (spec) {
    EXPECT_EQ(spec->tasks.at(1).preferred_rack, GetParam().rack);
    EXPECT_EQ(spec->same_rack, GetParam().same_rack);
  }
}

INSTANTIATE_TEST_SUITE_P(
    fields,
    place_test,
    testing::Values(place_case{"none", "", "", false, ""},
                    place_case{"rack", R"(,"affinity":"r1-3")", "r1-3", false,
                               ""},
                    place_case{"group", R"(,"same_rack":true)", "", true, ""},
                    place_case{"rack_of_another_type", R"(,"affinity":3)", "",
                               false, "invalid_request"},
                    place_case{"group_of_another_type", R"(,"same_rack":"yes")",
                               "", false, "invalid_request"}),
    [](const auto& item) { return item.param.name; });

struct label_case {
  std::string name;
  std::string labels;
  std::string rack;
};

class label_test : public testing::TestWithParam<label_case> {};

// Guards against a kind of machine that is taken for a rack, and against a
// heartbeat that is refused for its labels.
TEST_P(label_test, ReadsTheRack) {
  std::string text = kHeartbeat;
  const std::string labels = R"("labels":["a","r1"])";
  text.replace(text.find(labels), labels.size(), GetParam().labels);
  const auto heartbeat = ParseHeartbeat("i-1", text, kNow);
  ASSERT_TRUE(heartbeat) << heartbeat.error().message;
  EXPECT_EQ(heartbeat->rack, GetParam().rack);
}

INSTANTIATE_TEST_SUITE_P(
    labels,
    label_test,
    testing::Values(label_case{"two", R"("labels":["a","r1-3"])", "r1-3"},
                    label_case{"rack_first", R"("labels":["r2-1","a"])",
                               "r2-1"},
                    label_case{"kind_like_a_rack", R"("labels":["rx"])", ""},
                    label_case{"other_types", R"("labels":[1,null])", ""},
                    label_case{"no_list", R"("labels":7)", ""}),
    [](const auto& item) { return item.param.name; });

struct bad_heartbeat {
  std::string name;
  std::string from;
  std::string to;
};

class bad_beat_test : public testing::TestWithParam<bad_heartbeat> {};

// Guards against a malformed heartbeat that adds a minion.
TEST_P(bad_beat_test, NamesNoMinion) {
  std::string text = kHeartbeat;
  const std::size_t position = text.find(GetParam().from);
  ASSERT_NE(position, std::string::npos);
  text.replace(position, GetParam().from.size(), GetParam().to);
  EXPECT_FALSE(ParseHeartbeat("i-1", text, kNow));
}

INSTANTIATE_TEST_SUITE_P(
    table,
    bad_beat_test,
    testing::Values(
        bad_heartbeat{"service", R"("service":"s")", R"("service":3)"},
        bad_heartbeat{"address", "10.0.0.9:8080", "10.0.0.9"},
        bad_heartbeat{"state", R"("ready")", R"("resting")"},
        bad_heartbeat{"born", "1787822405666", "17.5"},
        bad_heartbeat{"born_far_in_the_future", "1787822405666",
                      "9000000000000000"},
        bad_heartbeat{"born_above_64_bits", "1787822405666", "1e308"},
        bad_heartbeat{"born_infinite", "1787822405666", "1e999"},
        bad_heartbeat{"port_out_of_range", ":8080", ":65536"},
        bad_heartbeat{"port_of_another_sign", ":8080", ":-1"},
        bad_heartbeat{"port_missing", ":8080", ":"},
        bad_heartbeat{"nested_too_deeply", R"(["a","r1"])",
                      std::string(100'000, '[') + std::string(100'000, ']')},
        bad_heartbeat{"zone", R"("zone":"east",)", ""},
        bad_heartbeat{"zone_of_another_type", R"("east")", "4"},
        bad_heartbeat{"version", R"("version":"v1",)", ""},
        bad_heartbeat{"version_of_another_type", R"("v1")", "1"},
        bad_heartbeat{"capacity", R"("capacity":8,)", ""},
        bad_heartbeat{"capacity_of_another_type", R"("capacity":8)",
                      R"("capacity":"8")"},
        bad_heartbeat{"cold_remaining", R"("cold_remaining_ms":40,)", ""},
        bad_heartbeat{"cold_remaining_of_another_type", ":40", R"(:"40")"},
        bad_heartbeat{"sequence", R"("sequence":4)", R"("sequence":"4")"},
        bad_heartbeat{"headroom", "16000", "-1"},
        bad_heartbeat{"unreadable", R"({"service")", "\xff\xfe"}),
    [](const auto& param) { return param.param.name; });

// Guards against a run that jayrill has not started being taken for one of its
// own, and against a malformed row that hides the others.
TEST(run_report_test, ReadsBothListsAndSkipsWhatItCannotRead) {
  const auto json =
      QJsonDocument::fromJson(
          R"({"clock_ms":482113,"born":17,"running":[)"
          R"(["5c0e.0.0.17",2,"",41,"7"],["other.1.0.3",1,"",0],[7]],)"
          R"("finished":[[59,"5c0e.0.0.9",1,"done",""],)"
          R"([58,"5c0e.0.0.8",3,"lapsed",""],"bad"]})")
          .object();
  const auto report = ParseReport(json);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->clock, minion_time(482113));
  EXPECT_EQ(report->life, 17U);
  ASSERT_EQ(report->running.size(), 2U);
  EXPECT_EQ(report->running[0], (active_run{{"5c0e", 17, 2}, 41}));
  EXPECT_EQ(report->running[1].run.job, "other.1.0.3");
  ASSERT_EQ(report->ended.size(), 2U);
  EXPECT_EQ(report->ended[0],
            (ended_run{58, {"5c0e", 8, 3}, run_end::kLapsed}));
  EXPECT_EQ(report->ended[1].how, run_end::kDone);
  EXPECT_FALSE(ParseReport({}));
  EXPECT_EQ(TaskName({"5c0e", 17, 2}), "5c0e.0.0.17");
}

}  // namespace
}  // namespace jayrill::platform
