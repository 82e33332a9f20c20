#include <gtest/gtest.h>

#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "fake_cluster.h"

namespace jayrill {
namespace {

using std::chrono::seconds;

struct offers_case {
  const char* name;
  std::vector<out_list> offers;  ///< By the store or by agents, in this order.
  std::set<std::string> in_service;  ///< Data centres that get starts then.
};

void PrintTo(const offers_case& param, std::ostream* out) {
  *out << param.name;
}

/// An entry with two agents in each of two data centres, whose configuration
/// has revision 1.
class out_list_offer_test : public testing::TestWithParam<offers_case> {
 protected:
  out_list_offer_test() {
    cluster_.ChangeConfig({});
    for (const char* const data_centre : {"dc1", "dc1", "dc2", "dc2"}) {
      fake_agent& agent = cluster_.AddAgent(data_centre);
      agent.Connect(cluster_.entry);
    }
    cluster_.Advance(seconds(1));
    cluster_.AcknowledgePushes();
  }

  fake_cluster cluster_;
};

// Guards against an entry that goes on to choose the agents of a data centre
// that is out, because the store rejects it and it has learnt of this from one
// agent, or that goes back to an older state which another agent still has.
TEST_P(out_list_offer_test, TheNewestListDecides) {
  for (const out_list& offer : GetParam().offers) {
    cluster_.entry.OfferOutList(offer);
  }
  cluster_.Submit(fake_cluster::Job(8, seconds(60)));
  cluster_.entry.Flush();
  std::set<const fake_agent*> chosen;
  for (const auto& [agent, starts] : cluster_.sent) {
    chosen.insert(agent);
  }
  for (fake_agent& agent : cluster_.agents) {
    EXPECT_EQ(chosen.contains(&agent),
              GetParam().in_service.contains(agent.hello().data_centre))
        << agent.hello().agent_id;
  }
}

// Guards against a job that waits for its deadline although no data centre is
// left, and against a refusal that does not say so.
TEST_P(out_list_offer_test, RefusesAtOnceWhereNoDataCentreIsLeft) {
  for (const out_list& offer : GetParam().offers) {
    cluster_.entry.OfferOutList(offer);
  }
  const job_id job = cluster_.Submit(fake_cluster::Job(2, seconds(60)));
  EXPECT_EQ(cluster_.CodeOf(job),
            GetParam().in_service.empty() ? "data_centre_out" : "");
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    out_list_offer_test,
    testing::Values(
        offers_case{"none", {}, {"dc1", "dc2"}},
        offers_case{"one_out", {{{5}, {"dc2"}}}, {"dc1"}},
        offers_case{"an_older_list_comes_later",
                    {{{5}, {"dc2"}}, {{4}, {}}},
                    {"dc1"}},
        offers_case{"out_and_in", {{{5}, {"dc2"}}, {{6}, {}}}, {"dc1", "dc2"}},
        offers_case{"an_older_evacuation_comes_later",
                    {{{6}, {}}, {{5}, {"dc2"}}},
                    {"dc1", "dc2"}},
        offers_case{"another_one", {{{5}, {"dc2"}}, {{6}, {"dc1"}}}, {"dc2"}},
        offers_case{"all_out", {{{5}, {"dc1", "dc2"}}}, {}}),
    [](const auto& tested) { return tested.param.name; });

// Guards against an evacuation that an older configuration takes back.
TEST_F(out_list_offer_test, AConfigurationIsNoNewerThanItsRevision) {
  cluster_.entry.OfferOutList({{7}, {"dc2"}});
  cluster_.ChangeConfig({});
  EXPECT_TRUE(cluster_.entry.data_centres_out().IsOut("dc2"));
  cluster_.revision = 8;
  cluster_.ChangeConfig({});
  EXPECT_FALSE(cluster_.entry.data_centres_out().IsOut("dc2"));
}

}  // namespace
}  // namespace jayrill
