#include "platform/http_client.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "closing_server.h"
#include "platform/minion_calls.h"
#include "qt_wait.h"

namespace jayrill::platform {
namespace {

struct connection_case {
  std::string name;
  int unanswered = 1;
};

class http_client_test : public testing::TestWithParam<connection_case> {
 protected:
  http_client_test() {
    WaitFor([] { return true; });  // Creates the QCoreApplication.
  }
};

// Guards against a request that the client repeats by itself after the service
// has carried it out and closed the connection before its answer.
TEST_P(http_client_test, ARequestWithoutAnswerIsNotRepeated) {
  closing_server server(GetParam().unanswered);
  http_client client;
  http_call call;
  call.method = "POST";
  call.address = server.address();
  call.path = "/v1/run-start";
  call.body = {{QStringLiteral("attempt"), 1}};
  std::optional<result<http_answer>> last;
  for (int i = 0; i < GetParam().unanswered; ++i) {
    last.reset();
    client.Send(call,
                [&](const result<http_answer>& answer) { last = answer; });
    ASSERT_TRUE(WaitFor([&] { return last.has_value(); }));
  }
  EXPECT_EQ(server.requests(), GetParam().unanswered);
  ASSERT_FALSE(*last);
  EXPECT_EQ(last->error().kind, error_kind::kUnknownOutcome);
}

// Guards against a start that the minion has carried out and that counts as
// refused, because the answer to a repeated order takes the place of the answer
// that was lost. The task would then be started on another minion as well.
TEST_P(http_client_test, AStartWithoutAnswerDoesNotCountAsRefused) {
  closing_server server(GetParam().unanswered);
  minion_calls calls;
  announcement minion;
  minion.host = "127.0.0.1";
  minion.port = server.port();
  calls.SetMinion(minion);
  std::optional<order_answer> last;
  for (int i = 0; i < GetParam().unanswered; ++i) {
    last.reset();
    calls.Start({{"5c0e7a21d94b36f8", 0, 1}, "spec", 7, minion_time(1000)},
                [&](order_answer answer) { last = answer; });
    ASSERT_TRUE(WaitFor([&] { return last.has_value(); }));
  }
  EXPECT_EQ(*last, order_answer::kLost);
}

INSTANTIATE_TEST_SUITE_P(connections,
                         http_client_test,
                         testing::Values(connection_case{"new_connection", 1},
                                         connection_case{"reused_connection",
                                                         2}),
                         [](const auto& param) { return param.param.name; });

}  // namespace
}  // namespace jayrill::platform
