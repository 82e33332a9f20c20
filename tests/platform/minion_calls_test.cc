#include "platform/minion_calls.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace jayrill::platform
