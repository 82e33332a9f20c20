#include <capnp/message.h>
#include <gtest/gtest.h>

#include <chrono>
#include <limits>
#include <optional>
#include <ostream>

#include "jayrill/rpc/codec.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

struct codec_case {
  const char* name;
  aged_out_list sent;
  std::optional<milliseconds> age_read;
};

void PrintTo(const codec_case& param, std::ostream* out) {
  *out << param.name;
}

class out_list_codec_test : public testing::TestWithParam<codec_case> {};

// Guards against a list that arrives as another one, and against an age that
// arrives as a smaller one, which would confirm an old list.
TEST_P(out_list_codec_test, ReadsWhatWasSent) {
  capnp::MallocMessageBuilder message;
  const auto wire = message.initRoot<wire::OutList>();
  Encode(GetParam().sent, wire);
  const aged_out_list read = Decode(wire.asReader());
  EXPECT_EQ(read.list, GetParam().sent.list);
  EXPECT_EQ(read.age, GetParam().age_read);
}

constexpr milliseconds kLongestAge{std::numeric_limits<std::uint32_t>::max() -
                                   1};

INSTANTIATE_TEST_SUITE_P(
    Cases,
    out_list_codec_test,
    testing::Values(
        codec_case{"empty", {{{7}, {}}, milliseconds(0)}, milliseconds(0)},
        codec_case{"two",
                   {{{7}, {"east", "west"}}, milliseconds(1500)},
                   milliseconds(1500)},
        codec_case{"age_not_known", {{{7}, {"east"}}, {}}, {}},
        codec_case{"age_above_the_range",
                   {{{7}, {}}, milliseconds(1LL << 40)},
                   kLongestAge}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a message without a list, as an earlier release sends, that
// counts as a confirmation.
TEST(missing_out_list_test, AMissingListConfirmsNothing) {
  capnp::MallocMessageBuilder message;
  const auto report = message.initRoot<wire::AgentReport>();
  const aged_out_list read = Decode(report.asReader().getOutList());
  EXPECT_EQ(read, (aged_out_list{}));
}

}  // namespace
}  // namespace jayrill
