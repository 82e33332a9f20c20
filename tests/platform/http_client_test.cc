#include "platform/http_client.h"

#include <gtest/gtest.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <optional>
#include <string>

#include "platform/minion_calls.h"
#include "qt_wait.h"

namespace jayrill::platform {
namespace {

/// Reads requests whole and closes the connection of one of them without an
/// answer. Answers all others: with status 200 before that one, with status 503
/// after it.
class closing_server {
 public:
  /// \p unanswered: number of the request without an answer, from 1.
  explicit closing_server(int unanswered) : unanswered_(unanswered) {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      QTcpSocket* const connection = server_.nextPendingConnection();
      QObject::connect(connection, &QTcpSocket::readyRead, connection,
                       [this, connection] { Read(*connection); });
    });
  }

  std::uint16_t port() const { return server_.serverPort(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  int requests() const { return requests_; }

 private:
  void Read(QTcpSocket& connection) {
    received_ += connection.readAll();
    // The bodies of these tests have no inner objects, so a brace ends one.
    if (!received_.endsWith('}')) {
      return;
    }
    received_.clear();
    ++requests_;
    if (requests_ == unanswered_) {
      connection.close();
    } else if (requests_ < unanswered_) {
      connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    } else {
      connection.write(
          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}");
    }
  }

  int unanswered_;
  QTcpServer server_;
  QByteArray received_;
  int requests_ = 0;
};

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
