#include "platform/minion_calls.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "order_server.h"

namespace jayrill::platform {
namespace {

struct status_case {
  std::string name;
  std::string status;
  std::string body;
  order_answer answer;
};

class order_answer_test : public testing::TestWithParam<status_case> {};

// Guards against a start that counts as refused after a status that does not
// say whether the minion has carried the order out.
TEST_P(order_answer_test, OnlyNamedRefusalsProveThatNothingWasDone) {
  const order_server server(GetParam().status, GetParam().body);
  EXPECT_EQ(SendOrder(server, "spec"), GetParam().answer);
}

INSTANTIATE_TEST_SUITE_P(
    statuses,
    order_answer_test,
    testing::Values(status_case{"ok", "200 OK", "{}", order_answer::kAccepted},
                    status_case{"fence", "409 Conflict",
                                R"({"reason":"fence"})", order_answer::kFenced},
                    status_case{"old", "409 Conflict", R"({"reason":"old"})",
                                order_answer::kSuperseded},
                    status_case{"late", "409 Conflict", R"({"reason":"late"})",
                                order_answer::kExpired},
                    status_case{"room", "409 Conflict", R"({"reason":"room"})",
                                order_answer::kNoRoom},
                    status_case{"ticket", "409 Conflict",
                                R"({"reason":"ticket"})",
                                order_answer::kUnhealthy},
                    status_case{"bad_request", "400 Bad Request", "{}",
                                order_answer::kInvalid},
                    status_case{"other_incarnation", "421 Misdirected Request",
                                "{}", order_answer::kUnhealthy},
                    status_case{"too_many", "429 Too Many Requests", "{}",
                                order_answer::kUnhealthy},
                    status_case{"unavailable", "503 Service Unavailable", "{}",
                                order_answer::kUnhealthy},
                    status_case{"internal_error", "500 Internal Server Error",
                                "{}", order_answer::kLost},
                    status_case{"bad_gateway", "502 Bad Gateway", "{}",
                                order_answer::kLost},
                    status_case{"gateway_timeout", "504 Gateway Timeout", "{}",
                                order_answer::kLost},
                    status_case{"request_timeout", "408 Request Timeout", "{}",
                                order_answer::kLost}),
    [](const auto& param) { return param.param.name; });

struct identity_case {
  std::string name;
  std::string status;
  std::string body;
  result<identity_answer> answer;
};

class identity_test : public testing::TestWithParam<identity_case> {};

// Guards against a minion that another writer has named and that counts as
// found, and against one that is only busy and counts as another one.
TEST_P(identity_test, OnlyTheMinionItselfIsFound) {
  const order_server server(GetParam().status, GetParam().body);
  announcement minion = server.Minion();
  minion.life = 20;
  minion_calls calls;
  std::optional<result<identity_answer>> answer;
  calls.Identify(minion, 7, [&](const auto& found) { answer = found; });
  ASSERT_TRUE(WaitFor([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->has_value(), GetParam().answer.has_value());
  EXPECT_EQ(answer->value_or(identity_answer::kUnknown),
            GetParam().answer.value_or(identity_answer::kUnknown));
  EXPECT_TRUE(server.last_header().contains("X-Target-Instance: i-7f3a91c2"));
}

INSTANTIATE_TEST_SUITE_P(
    answers,
    identity_test,
    testing::Values(
        identity_case{"the_minion", "200 OK", R"({"clock_ms":5,"born":20})",
                      identity_answer::kSame},
        identity_case{"another_life", "200 OK", R"({"clock_ms":5,"born":19})",
                      identity_answer::kOther},
        identity_case{"no_minion", "200 OK", "{}", identity_answer::kOther},
        identity_case{"another_instance", "421 Misdirected Request", "{}",
                      identity_answer::kOther},
        identity_case{"no_such_path", "404 Not Found", "{}",
                      identity_answer::kOther},
        identity_case{"busy", "429 Too Many Requests", "{}",
                      identity_answer::kUnknown},
        identity_case{"not_healthy", "503 Service Unavailable", "{}",
                      identity_answer::kUnknown},
        identity_case{"fenced", "409 Conflict", R"({"reason":"fence"})",
                      MakeError(error_kind::kConflict, "", "")}),
    [](const auto& param) { return param.param.name; });

/// Sends one call of a kind and counts the answers.
using send_function = void (*)(minion_calls& calls, int& answers);

struct call_case {
  std::string name;
  send_function send;
};

class call_target_test : public testing::TestWithParam<call_case> {};

// Guards against a call that the next life of the minion carries out: a minion
// answers 421 to a call that names another instance.
TEST_P(call_target_test, EachCallNamesItsInstance) {
  const order_server server("200 OK", "{}");
  minion_calls calls;
  calls.SetMinion(server.Minion());
  int answers = 0;
  GetParam().send(calls, answers);
  WaitFor([&] { return answers > 0; });
  EXPECT_TRUE(server.last_header().contains("X-Target-Instance: i-7f3a91c2"));
}

const run_name kRun{"5c0e7a21d94b36f8", 0, 1};

INSTANTIATE_TEST_SUITE_P(
    calls,
    call_target_test,
    testing::Values(
        call_case{"start",
                  [](minion_calls& calls, int& answers) {
                    calls.Start({kRun, "spec", 7, minion_time(1000)},
                                [&](order_answer) { ++answers; });
                  }},
        call_case{"stop",
                  [](minion_calls& calls, int& answers) {
                    calls.Stop(kRun, 7, [&](order_answer) { ++answers; });
                  }},
        call_case{"renewal",
                  [](minion_calls& calls, int& answers) {
                    calls.Renew({7, std::nullopt, 0, {}},
                                [&](const result<run_report>&) { ++answers; });
                  }}),
    [](const auto& param) { return param.param.name; });

}  // namespace
}  // namespace jayrill::platform
