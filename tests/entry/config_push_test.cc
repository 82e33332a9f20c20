#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::seconds;

struct config_push_test : testing::Test {
  config_push_test() {
    cluster.ChangeConfig({});
    agent = &cluster.AddAgent("dc1");
    agent->Connect(cluster.entry);
    cluster.AcknowledgePushes();
  }

  fake_cluster cluster;
  fake_agent* agent = nullptr;
};

// Guards against a link to the agents that carries every configuration of a
// quick succession, while the starts wait behind them.
TEST_F(config_push_test, OneConfigurationIsOnItsWayAtATime) {
  constexpr int kChanges = 10;
  for (int i = 0; i < kChanges; ++i) {
    cluster.ChangeConfig({});
  }
  EXPECT_EQ(cluster.pushes.size(), 1U);
}

// Guards against an agent that stays with a configuration that was replaced
// while it was on its way.
TEST_F(config_push_test, TheNewestOneFollowsTheAcknowledgement) {
  cluster.ChangeConfig({});
  const auto first = cluster.pushes.front();
  const config_revision sent = cluster.entry.config()->revision;
  cluster.ChangeConfig({});
  cluster.ChangeConfig({});
  cluster.entry.OnConfigAcknowledged(first.first, first.second, sent);
  ASSERT_EQ(cluster.pushes.size(), 2U);
  cluster.AcknowledgePushes();
  EXPECT_TRUE(cluster.pushes.empty());
}

// Guards against an agent that gets no configuration any more because one was
// lost with its connection.
TEST_F(config_push_test, ANewConnectionDoesNotWaitForALostOne) {
  cluster.ChangeConfig({});
  agent->Cut(cluster.entry, true);
  agent->Connect(cluster.entry);
  cluster.pushes.clear();
  cluster.ChangeConfig({});
  EXPECT_EQ(cluster.pushes.size(), 1U);
}

}  // namespace
}  // namespace jayrill
