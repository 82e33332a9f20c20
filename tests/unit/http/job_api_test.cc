#include "jayrill/entry/job_api.h"

#include <gtest/gtest.h>

#include <string>

#include "jayrill/claim/request_key.h"
#include "jayrill/job/job_codec.h"
#include "job_api_fixture.h"

namespace jayrill {
namespace {

const job_outcome kCompleteOutcome = job_answer{{"{\"price\":1}", "2"}};

// Guards against replies that go to another caller when jobs end out of order.
TEST_F(job_api_test, EachCallerGetsItsOwnAnswer) {
  raw_client first(port_);
  Submit(first, Body(""));
  ASSERT_TRUE(WaitSubmitted(1));
  raw_client second(port_);
  Submit(second, Body(""));
  ASSERT_TRUE(WaitSubmitted(2));
  EXPECT_EQ(dispatch_.submitted[0].spec.tasks[1].payload, "2");
  EXPECT_EQ(dispatch_.submitted[0].spec.deadline, kDefaultDeadline);
  dispatch_.End(1, job_answer{{"\"b\"", "2"}});
  dispatch_.End(0, job_answer{{"\"a\"", "2"}});
  EXPECT_TRUE(first.WaitFor(
      R"({"job":"0000000000000007-1","outcome":"complete","results":["a",2]})"));
  EXPECT_TRUE(second.WaitFor(
      R"({"job":"0000000000000007-2","outcome":"complete","results":["b",2]})"));
  EXPECT_NE(metrics_.Expose().find(
                "jayrill_jobs_total{service=\"quote\",outcome=\"complete\"} 2"),
            std::string::npos);
}

struct refused_job {
  const char* name;
  std::string body;
  std::string status;
  std::string code;
};

class refused_job_test : public job_api_test,
                         public testing::WithParamInterface<refused_job> {};

// Guards against a job that is refused as not run but runs.
TEST_P(refused_job_test, IsNotDispatched) {
  raw_client client(port_);
  Submit(client, GetParam().body);
  ASSERT_TRUE(client.WaitFor("\"remedy\""));
  EXPECT_EQ(client.Received().substr(9, 3), GetParam().status);
  EXPECT_NE(client.Received().find(R"("effect":"not_run","code":")" +
                                   GetParam().code + "\""),
            std::string::npos)
      << client.Received();
  EXPECT_TRUE(dispatch_.submitted.empty());
  EXPECT_TRUE(claims_.acquired.empty());
}

std::string KeyedJob(const std::string& key) {
  return R"({"service":"s","team":"t","idempotent":false,"request_key":")" +
         key + R"(","tasks":[{"kind":"k"}]})";
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    refused_job_test,
    testing::Values(
        refused_job{"invalid", "{}", "400", "invalid_request"},
        refused_job{"tasks",
                    R"({"service":"limited","team":"t","idempotent":true,)"
                    R"("tasks":[{"kind":"k"},{"kind":"k"}]})",
                    "400", "too_many_tasks"},
        refused_job{"deadline",
                    R"({"service":"limited","team":"t","idempotent":true,)"
                    R"("deadline_ms":5001,"tasks":[{"kind":"k"}]})",
                    "400", "deadline_too_long"},
        refused_job{"key_form", KeyedJob("abc"), "400", "key_malformed"},
        refused_job{"key_no_name", KeyedJob("1-"), "400", "key_malformed"},
        refused_job{"key_old", KeyedJob("1-a"), "400", "key_expired"},
        refused_job{"key_ahead", KeyedJob("99999999999999-a"), "400",
                    "key_in_future"}),
    [](const auto& test) { return test.param.name; });

// Guards against jobs that start without a configuration or while draining.
TEST_F(job_api_test, RefusesWithoutConfigurationAndWhileDraining) {
  const shared_config config = std::exchange(config_, nullptr);
  raw_client client(port_);
  Submit(client, Body(""));
  EXPECT_TRUE(client.WaitFor("\"code\":\"no_configuration\""));
  config_ = config;
  api_.BeginDrain();
  Submit(client, Body(""));
  EXPECT_TRUE(client.WaitFor("\"code\":\"draining\""));
  EXPECT_EQ(Occurrences(client.Received(), "HTTP/1.1 503"), 2);
  EXPECT_TRUE(dispatch_.submitted.empty());
}

// Guards against idempotent jobs that run on after their caller has
// disconnected, and non-idempotent jobs whose outcome is lost with their
// caller.
TEST_F(job_api_test, CancelsOnlyIdempotentJobsOfGoneCallers) {
  const std::string key = Key();
  auto idempotent = std::make_unique<raw_client>(port_);
  Submit(*idempotent, Body(""));
  ASSERT_TRUE(WaitSubmitted(1));
  auto claimed = std::make_unique<raw_client>(port_);
  ASSERT_TRUE(SubmitForClaim(*claimed, key));
  Grant(0);
  ASSERT_TRUE(WaitSubmitted(2));
  claimed.reset();
  ASSERT_TRUE(WaitUntil([&] { return server_.connections() == 1; }));
  idempotent.reset();
  ASSERT_TRUE(WaitUntil([&] { return !dispatch_.cancelled.empty(); }));
  EXPECT_EQ(dispatch_.cancelled,
            std::vector<job_id>{dispatch_.submitted[0].id});
  dispatch_.End(0, NotRunOutcome());
  dispatch_.End(1, kCompleteOutcome);
  ASSERT_TRUE(WaitUntil([&] { return api_.pending_jobs() == 0; }));
  EXPECT_EQ(claims_.ended, std::vector<std::string>{key});
  raw_client again(port_);
  Submit(again, Body(key));
  EXPECT_TRUE(again.WaitFor("{\"price\":1}"));
  EXPECT_EQ(dispatch_.submitted.size(), 2U);
}

// Guards against a resubmission that runs a second time or gets the answer of
// another job.
TEST_F(job_api_test, ResubmissionJoinsTheRunningJob) {
  const std::string key = Key();
  raw_client first(port_);
  ASSERT_TRUE(SubmitForClaim(first, key));
  raw_client second(port_);
  Submit(second, Body(key));  // Joins while the claim is being written.
  raw_client other(port_);
  Submit(other, Body(key, 99));
  EXPECT_TRUE(other.WaitFor("\"code\":\"key_reused\""));
  Grant(0);
  ASSERT_TRUE(WaitSubmitted(1));
  api_.BeginDrain();  // Joining does not start a job.
  raw_client third(port_);
  Submit(third, Body(key));
  raw_client marker(port_);
  Submit(marker, "{}");
  ASSERT_TRUE(marker.WaitFor("invalid_request"));
  dispatch_.End(0, kCompleteOutcome);
  for (raw_client* client : {&first, &second, &third}) {
    EXPECT_TRUE(client->WaitFor("{\"price\":1}"));
  }
  EXPECT_EQ(claims_.acquired.size(), 1U);
  EXPECT_EQ(dispatch_.submitted.size(), 1U);
}

// Guards against a job that runs before its claim is stored, and against a
// claim that is not released although its job has not run.
TEST_F(job_api_test, ReleasesTheClaimOfAJobThatHasNotRun) {
  const std::string key = Key();
  raw_client client(port_);
  ASSERT_TRUE(SubmitForClaim(client, key));
  EXPECT_TRUE(dispatch_.submitted.empty());
  Grant(0);
  ASSERT_TRUE(WaitSubmitted(1));
  dispatch_.End(0, NotRunOutcome());
  EXPECT_TRUE(client.WaitFor("HTTP/1.1 503"));
  EXPECT_EQ(claims_.released, std::vector<std::string>{key});
  EXPECT_TRUE(claims_.ended.empty());
  raw_client again(port_);  // Not answered from the cache.
  EXPECT_TRUE(SubmitForClaim(again, key));
}

struct claim_case {
  const char* name;
  claim_decision decision;
  std::string status;
  std::string text;
};

class claim_test : public job_api_test,
                   public testing::WithParamInterface<claim_case> {};

// Guards against a job that runs although its claim was not granted, and an
// answer that states more about the job than the claim tells.
TEST_P(claim_test, AnswersWithoutRunning) {
  raw_client client(port_);
  ASSERT_TRUE(SubmitForClaim(client, Key()));
  AnswerClaim(0, GetParam().decision);
  EXPECT_TRUE(client.WaitFor(GetParam().text)) << client.Received();
  EXPECT_EQ(client.Received().substr(9, 3), GetParam().status);
  EXPECT_TRUE(dispatch_.submitted.empty());
  EXPECT_TRUE(claims_.released.empty());
}

claim_decision Refused(std::string code) {
  return {claim_decision::kind::kRefused, 0, {}, std::move(code), "m", "r"};
}

claim_decision Ended(std::string outcome, std::optional<std::string> answer) {
  return {claim_decision::kind::kEnded,
          0,
          {std::move(outcome), std::move(answer)},
          "",
          "",
          ""};
}

claim_decision Running(claim_decision::kind what) {
  return {what, 0, {}, "", "", ""};
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    claim_test,
    testing::Values(
        claim_case{"store_down", Refused("store_unavailable"), "503",
                   R"("effect":"not_run","code":"store_unavailable")"},
        claim_case{"full", Refused("claims_full"), "429",
                   R"("effect":"not_run","code":"claims_full")"},
        claim_case{"reused", Refused("key_reused"), "409",
                   R"("effect":"not_run","code":"key_reused")"},
        claim_case{"elsewhere",
                   Running(claim_decision::kind::kRunningElsewhere), "409",
                   R"("effect":"may_have_run")"},
        claim_case{"here", Running(claim_decision::kind::kRunningHere), "409",
                   R"("effect":"may_have_run")"},
        claim_case{"ended", Ended("complete", std::nullopt), "409",
                   R"("effect":"ran","code":"already_ran")"},
        claim_case{"answer", Ended("complete", "{kept}"), "200", "{kept}"},
        claim_case{"failure", Ended("ran_and_failed", "{kept}"), "502",
                   "{kept}"},
        claim_case{"lost", Ended("may_have_run", "{kept}"), "504", "{kept}"}),
    [](const auto& test) { return test.param.name; });

// Guards against a deadline that counts from a late grant of the claim instead
// of the arrival of the job.
TEST_F(job_api_test, TheClaimCountsAgainstTheDeadline) {
  raw_client client(port_);
  ASSERT_TRUE(SubmitForClaim(client, Key()));
  time_.Advance(kDefaultDeadline);
  Grant(0);
  EXPECT_TRUE(client.WaitFor("\"code\":\"deadline_exceeded\""));
  EXPECT_TRUE(dispatch_.submitted.empty());
  EXPECT_EQ(claims_.released.size(), 1U);
}

// Guards against an answer cache that grows without limit or keeps expired
// answers.
TEST(answer_cache_test, IsBoundedByCountBytesAndTime) {
  const wall_time now{std::chrono::milliseconds(1'000'000)};
  const auto answer = [&](std::size_t bytes) {
    return cached_answer{
        {}, 0, job_answer{{std::string(bytes, 'x')}}, now + kClaimWindow};
  };
  answer_cache cache(3, 5000);
  for (const char* const key : {"a", "b", "c", "d"}) {
    cache.Put(key, answer(10), now);
  }
  EXPECT_EQ(cache.Find("a", now), nullptr);
  EXPECT_NE(cache.Find("b", now), nullptr);
  cache.Put("e", answer(4000), now);
  EXPECT_EQ(cache.size(), 3U);
  cache.Put("f", answer(4000), now);
  EXPECT_EQ(cache.size(), 1U);
  EXPECT_LE(cache.bytes(), 5000U);
  EXPECT_EQ(cache.Find("f", now + kClaimWindow + std::chrono::milliseconds(1)),
            nullptr);
  EXPECT_EQ(cache.bytes(), 0U);
}

}  // namespace
}  // namespace jayrill
