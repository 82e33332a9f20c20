#include "platform/minion_calls.h"

#include <gtest/gtest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <optional>
#include <string>

#include "qt_wait.h"

namespace jayrill::platform {
namespace {

struct status_case {
  std::string name;
  std::string status;
  std::string body;
  order_answer answer;
};

class order_answer_test : public testing::TestWithParam<status_case> {
 protected:
  order_answer_test() {
    WaitFor([] { return true; });  // Creates the QCoreApplication.
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      QTcpSocket* const connection = server_.nextPendingConnection();
      QObject::connect(connection, &QTcpSocket::readyRead, connection,
                       [this, connection] { Answer(*connection); });
    });
  }

  std::uint16_t port() const { return server_.serverPort(); }

 private:
  void Answer(QTcpSocket& connection) {
    received_ += connection.readAll();
    // The body of the order has no inner objects, so a brace ends it.
    if (!received_.endsWith('}')) {
      return;
    }
    received_.clear();
    const std::string& body = GetParam().body;
    connection.write(QByteArray::fromStdString(
        "HTTP/1.1 " + GetParam().status + "\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body));
  }

  QTcpServer server_;
  QByteArray received_;
};

// Guards against a start that counts as refused after a status that does not
// say whether the minion has carried the order out.
TEST_P(order_answer_test, OnlyNamedRefusalsProveThatNothingWasDone) {
  minion_calls calls;
  announcement minion;
  minion.host = "127.0.0.1";
  minion.port = port();
  calls.SetMinion(minion);
  std::optional<order_answer> answer;
  calls.Start({{"5c0e7a21d94b36f8", 0, 1}, "spec", 7, minion_time(1000)},
              [&](order_answer result) { answer = result; });
  ASSERT_TRUE(WaitFor([&] { return answer.has_value(); }));
  EXPECT_EQ(*answer, GetParam().answer);
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
