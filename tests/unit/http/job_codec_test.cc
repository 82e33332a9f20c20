#include "jayrill/job/job_codec.h"

#include <gtest/gtest.h>

#include <string>

namespace jayrill {
namespace {

std::string Job(const std::string& fields, const std::string& tasks) {
  return R"({"service":"s","team":"t","idempotent":true)" + fields +
         R"(,"tasks":)" + tasks + "}";
}

std::string Repeat(const std::string& part, int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += part;
  }
  return text;
}

// Guards against payloads that are changed by decoding, and against lost
// fields.
TEST(job_codec_test, DecodesEveryField) {
  const auto spec = DecodeJob(
      R"({"service":"s","team":"t","idempotent":false,"request_key":"1-a",)"
      R"("deadline_ms":600000,"tasks":[{"kind":"k","declared_ms":70,)"
      R"("payload": {"a" : [1, 2.5, "\u00e9"]}},{"kind":"l","payload":7},)"
      R"({"kind":"m"}]})");
  ASSERT_TRUE(spec.has_value()) << spec.error().message;
  EXPECT_FALSE(spec->idempotent);
  EXPECT_EQ(spec->request_key, "1-a");
  EXPECT_EQ(spec->deadline, kMaxDeadline);
  ASSERT_EQ(spec->tasks.size(), 3U);
  EXPECT_EQ(spec->tasks[0].payload, "{\"a\":[1,2.5,\"\u00e9\"]}");
  EXPECT_EQ(spec->tasks[0].declared, std::chrono::milliseconds(70));
  EXPECT_EQ(spec->tasks[1].payload, "7");
  EXPECT_EQ(spec->tasks[2].payload, "null");
}

struct bad_job {
  const char* name;
  std::string body;
  std::string field;  // Text that the message must contain.
};

class bad_job_test : public testing::TestWithParam<bad_job> {};

// Guards against malformed jobs that are accepted, crash the entry, or are
// refused with an error that does not name the field and a remedy.
TEST_P(bad_job_test, IsRefusedByName) {
  const auto spec = DecodeJob(GetParam().body);
  ASSERT_FALSE(spec.has_value());
  EXPECT_EQ(spec.error().kind, error_kind::kInvalidArgument);
  EXPECT_NE(spec.error().message.find(GetParam().field), std::string::npos)
      << spec.error().message;
  EXPECT_FALSE(spec.error().remedy.empty());
}

const char kTask[] = R"([{"kind":"k","payload":1}])";

INSTANTIATE_TEST_SUITE_P(
    Cases,
    bad_job_test,
    testing::Values(
        bad_job{"empty", "", "not JSON"},
        bad_job{"garbage", "\xff\xfe{", "not JSON"},
        bad_job{"cut", R"({"service":"s")", "not JSON"},
        bad_job{"array", "[]", "not a JSON object"},
        bad_job{"deep", Job("", Repeat("[", 500'000)), "not JSON"},
        bad_job{"deep_payload",
                Job("",
                    R"([{"kind":"k","payload":)" + Repeat("[", 5000) +
                        Repeat("]", 5000) + "}]"),
                "not JSON"},
        bad_job{"unknown", Job(R"(,"prio":1)", kTask), "'prio'"},
        bad_job{"no_team", R"({"service":"s","idempotent":true,"tasks":[]})",
                "'team'"},
        bad_job{"long_name",
                R"({"service":")" + Repeat("x", 65) +
                    R"(","team":"t","idempotent":true,"tasks":[]})",
                "'service'"},
        bad_job{"name_char",
                R"({"service":"a/b","team":"t","idempotent":true,"tasks":[]})",
                "'service'"},
        bad_job{"no_idempotent", R"({"service":"s","team":"t","tasks":[]})",
                "'idempotent'"},
        bad_job{"no_key",
                R"({"service":"s","team":"t","idempotent":false,"tasks":[]})",
                "'request_key'"},
        bad_job{"long_key",
                Job(R"(,"request_key":")" + Repeat("1", 129) + "\"", kTask),
                "'request_key'"},
        bad_job{"deadline_0", Job(R"(,"deadline_ms":0)", kTask),
                "'deadline_ms'"},
        bad_job{"deadline_long", Job(R"(,"deadline_ms":600001)", kTask),
                "'deadline_ms'"},
        bad_job{"deadline_part", Job(R"(,"deadline_ms":1.5)", kTask),
                "'deadline_ms'"},
        bad_job{"deadline_huge", Job(R"(,"deadline_ms":1e300)", kTask),
                "'deadline_ms'"},
        bad_job{"deadline_text", Job(R"(,"deadline_ms":"5")", kTask),
                "'deadline_ms'"},
        bad_job{"no_tasks", Job("", "[]"), "'tasks'"},
        bad_job{"tasks_type", Job("", "{}"), "'tasks'"},
        bad_job{
            "many_tasks",
            Job("",
                "[" + Repeat(R"({"kind":"k"},)", 1900) + R"({"kind":"k"}])"),
            "'tasks'"},
        bad_job{"task_type", Job("", "[1]"), "'tasks[0]'"},
        bad_job{"task_kind", Job("", R"([{"kind":"k"},{"kind":""}])"),
                "'tasks[1].kind'"},
        bad_job{"task_field", Job("", R"([{"kind":"k","x":1}])"),
                "'tasks[0].x'"},
        bad_job{"declared", Job("", R"([{"kind":"k","declared_ms":-1}])"),
                "'tasks[0].declared_ms'"},
        bad_job{"rack", Job("", R"([{"kind":"k","preferred_rack":1}])"),
                "'tasks[0].preferred_rack'"},
        bad_job{"same_rack", Job(R"(,"same_rack":1)", kTask), "'same_rack'"}),
    [](const auto& test) { return test.param.name; });

// Guards against a job whose tasks lose their rack.
TEST(job_codec_test, ReadsWhereTasksRunFastest) {
  const auto spec = DecodeJob(
      Job(R"(,"same_rack":true)", R"([{"kind":"k","preferred_rack":"r1-3"}])"));
  ASSERT_TRUE(spec.has_value()) << spec.error().message;
  EXPECT_TRUE(spec->same_rack);
  EXPECT_EQ(spec->tasks[0].preferred_rack, "r1-3");
}

// Guards against a response that is not valid JSON, and against results or
// texts that are not escaped and change its structure.
TEST(job_codec_test, EncodesAnswersInTaskOrder) {
  EXPECT_EQ(EncodeOutcome("a-1", job_answer{{R"({"x":1})", "", "2"}}),
            R"({"job":"a-1","outcome":"complete","results":[{"x":1},null,2]})");
  EXPECT_EQ(EncodeOutcome(
                "", MakeJobFailure(job_effect::kNotRun, "c", "m \"q\"\n", "r")),
            R"({"job":null,"outcome":"failed","error":{"effect":"not_run",)"
            R"("code":"c","message":"m \"q\"\n","remedy":"r"}})");
}

// Guards against a malformed result of a minion that makes the whole response
// invalid.
TEST(job_codec_test, RefusesResultsThatAreNotJson) {
  for (const char* const bad : {"{", "1,2", "1],[2", "nope", "\"\xff\xff"}) {
    const job_outcome checked = CheckResults(job_answer{{"1", bad}});
    ASSERT_FALSE(checked.has_value()) << bad;
    EXPECT_EQ(checked.error().effect, job_effect::kRanAndFailed);
    EXPECT_EQ(checked.error().code, "bad_result");
  }
  EXPECT_TRUE(CheckResults(job_answer{{"1", "{}", "\"a\"", ""}}).has_value());
}

}  // namespace
}  // namespace jayrill
