#include <gtest/gtest.h>

#include "http_test_support.h"

namespace jayrill {
namespace {

// Guards against a stop that interrupts a request that is being handled or
// received, and against a stop that never finishes.
TEST(http_stop_test, AnswersWhatHasBegun) {
  test_server server;
  raw_client idle(server.port);
  raw_client handled(server.port);
  handled.Send(Post("/later", "x"));
  ASSERT_TRUE(server.WaitPending(1));
  raw_client sending(server.port);
  sending.Send("POST /echo HTTP/1.1\r\nContent-Length: 6\r\n\r\n<b");
  ASSERT_TRUE(WaitUntil([&] { return server.server->connections() == 3; }));
  QCoreApplication::processEvents();

  bool stopped = false;
  server.server->Stop([&] { stopped = true; });
  EXPECT_TRUE(idle.WaitClosed());
  EXPECT_FALSE(stopped);
  sending.Send("ody>");
  EXPECT_TRUE(sending.WaitFor("<body>"));
  server.pending[0]->Reply({200, "<reply>"});
  EXPECT_TRUE(handled.WaitFor("<reply>"));
  EXPECT_TRUE(handled.WaitClosed());
  EXPECT_TRUE(sending.WaitClosed());
  EXPECT_TRUE(WaitUntil([&] { return stopped; }));
  EXPECT_NE(handled.Received().find("Connection: close"), std::string::npos);
}

// Guards against a crash when the server is destroyed while replies are
// pending, or when a handler replies after that.
TEST(http_stop_test, SurvivesDestructionWithPendingReplies) {
  test_server server;
  raw_client client(server.port);
  client.Send(Post("/later", "x"));
  ASSERT_TRUE(server.WaitPending(1));
  server.server.reset();
  EXPECT_EQ(server.disconnected_count, 1);
  server.pending[0]->Reply({200, "late"});
  EXPECT_TRUE(client.WaitClosed());
}

}  // namespace
}  // namespace jayrill
