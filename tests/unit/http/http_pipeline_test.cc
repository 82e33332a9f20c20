#include <gtest/gtest.h>

#include "http_test_support.h"

namespace jayrill {
namespace {

// Guards against replies to pipelined requests that are sent in the wrong order
// when the first request takes longer than the second.
TEST(http_pipeline_test, AnswersInOrderOfRequests) {
  test_server server;
  raw_client client(server.port);
  client.Send(Post("/later", "a") + Post("/echo", "second") +
              Post("/later", "b") + Post("/echo", "fourth"));
  ASSERT_TRUE(server.WaitPending(1));
  server.pending[0]->Reply({200, "first"});
  ASSERT_TRUE(server.WaitPending(2));
  server.pending[1]->Reply({503, "third"});
  ASSERT_TRUE(client.WaitFor("fourth"));
  const std::string& text = client.Received();
  EXPECT_LT(text.find("first"), text.find("second"));
  EXPECT_LT(text.find("second"), text.find("third"));
  EXPECT_LT(text.find("third"), text.find("fourth"));
  EXPECT_EQ(Occurrences(text, "HTTP/1.1 "), 4);
  EXPECT_EQ(Occurrences(text, "Content-Length: "), 4);
}

// Guards against deep recursion, a lost request or a stalled connection when
// many pipelined requests arrive in pieces that end inside a request.
TEST(http_pipeline_test, AnswersManyPipelinedRequests) {
  test_server server;
  raw_client client(server.port);
  std::string requests;
  for (int i = 0; i < 2000; ++i) {
    requests += Post("/echo", "<" + std::to_string(i) + ">");
  }
  for (std::size_t at = 0; at < requests.size(); at += 997) {
    client.Send(requests.substr(at, 997));
  }
  ASSERT_TRUE(client.WaitFor("<1999>"));
  EXPECT_EQ(Occurrences(client.Received(), "HTTP/1.1 200"), 2000);
}

// Guards against a late reply that reaches another caller or a deleted socket.
TEST(http_pipeline_test, DropsReplyToCallerThatHasGone) {
  test_server server;
  {
    raw_client gone(server.port);
    gone.Send(Post("/later", "x"));
    ASSERT_TRUE(server.WaitPending(1));
    gone.Abort();
  }
  ASSERT_TRUE(WaitUntil([&] { return server.disconnected_count == 1; }));
  ASSERT_TRUE(WaitUntil([&] { return server.server->connections() == 0; }));
  raw_client other(server.port);
  other.Send(Post("/later", "y"));
  ASSERT_TRUE(server.WaitPending(2));
  server.pending[0]->Reply({200, "late"});
  server.pending[1]->Reply({200, "own"});
  ASSERT_TRUE(other.WaitFor("own"));
  EXPECT_EQ(other.Received().find("late"), std::string::npos);
}

// Guards against a large reply that is truncated or not sent to its end.
TEST(http_pipeline_test, SendsLargeBodiesWhole) {
  test_server server;
  raw_client client(server.port);
  const std::string body(http_limits{}.max_body_bytes, 'z');
  client.Send(Post("/echo", body) + Post("/echo", "<end>"));
  ASSERT_TRUE(client.WaitFor("<end>"));
  EXPECT_NE(client.Received().find(body + "HTTP/1.1 200"), std::string::npos);
}

}  // namespace
}  // namespace jayrill
