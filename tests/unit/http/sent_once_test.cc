#include <gtest/gtest.h>

#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <ostream>

#include "closing_server.h"
#include "jayrill/cli/http_call.h"
#include "jayrill/load/request_pool.h"
#include "qt_wait.h"

namespace jayrill {
namespace {

/// \returns whether a job that a client command submits got an answer.
bool SubmitByCommand(const closing_server& server) {
  http_call call;
  call.method = "POST";
  call.path = "/v1/jobs";
  call.body = "{\"service\":\"sample\"}";
  return Send(server.address(), call).has_value();
}

/// \returns whether a job of a load run got an answer.
bool SubmitByLoadRun(const closing_server& server) {
  request_pool pool(1, 1);
  const QUrl url(
      QString::fromStdString("http://" + server.address() + "/v1/jobs"));
  bool ended = false;
  bool answered = false;
  pool.Post(0, QNetworkRequest(url), "{\"service\":\"sample\"}",
            [&](const QNetworkReply& reply) {
              ended = true;
              answered = reply.error() == QNetworkReply::NoError;
            });
  EXPECT_TRUE(WaitFor([&] { return ended; }));
  return answered;
}

/// A client of the entries that submits jobs.
struct sender_case {
  const char* name;
  bool (*submit)(const closing_server& server);
};

void PrintTo(const sender_case& param, std::ostream* out) {
  *out << param.name;
}

class sent_once_test : public testing::TestWithParam<sender_case> {
 protected:
  sent_once_test() {
    WaitFor([] { return true; });  // Creates the QCoreApplication.
  }
};

// Guards against a job that a client submits twice by itself, because the entry
// has closed the connection without an answer. The entry may have run it.
TEST_P(sent_once_test, AJobWithoutAnswerIsNotSubmittedAgain) {
  closing_server server(1);
  EXPECT_FALSE(GetParam().submit(server));
  EXPECT_EQ(server.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Senders,
    sent_once_test,
    testing::Values(sender_case{"command", SubmitByCommand},
                    sender_case{"load_run", SubmitByLoadRun}),
    [](const auto& param) { return std::string(param.param.name); });

}  // namespace
}  // namespace jayrill
