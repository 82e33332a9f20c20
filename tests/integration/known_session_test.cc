#include "agent_fixture.h"

namespace jayrill {
namespace {

// Guards against an agent that does not tell which session it knows. The entry
// would then resume one of which the agent has never heard.
TEST_F(agent_fixture, HelloNamesTheSessionOfTheLastAnswer) {
  Launch(1);
  ASSERT_EQ(entry.Record().hellos.size(), 1U);
  EXPECT_EQ(entry.Record().hellos.back().session, session_number{0});
  entry.SetWelcome(Config(1), false, session_number{41});
  entry.Cut();
  ASSERT_TRUE(WaitFor([&] { return entry.Record().hellos.size() == 2; }));
  const std::uint64_t reports = entry.Record().reports;
  ASSERT_TRUE(WaitFor([&] { return entry.Record().reports > reports; }));
  entry.Cut();
  ASSERT_TRUE(WaitFor([&] { return entry.Record().hellos.size() == 3; }));
  EXPECT_EQ(entry.Record().hellos.back().session, session_number{41});
}

}  // namespace
}  // namespace jayrill
