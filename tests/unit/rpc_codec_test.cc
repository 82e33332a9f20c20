#include "jayrill/rpc/codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <string>

#include "jayrill/rpc/reader_limits.h"

namespace jayrill {
namespace {

/// \returns a message of 32 bytes whose root points, with its first pointer, to
/// a list of \p count empty structs.
std::array<std::uint64_t, 4> ListOfEmptyStructs(std::uint64_t count) {
  return {std::uint64_t{3} << 32U,         // One segment of three words.
          std::uint64_t{1} << 48U,         // Root: one pointer.
          (std::uint64_t{7} << 32U) | 1U,  // List with a tag, of no words.
          count << 2U};                    // Tag: the number of structs.
}

struct list_case {
  std::uint64_t count;
  bool accepted;
};

class list_size_test : public testing::TestWithParam<list_case> {
 protected:
  /// \returns true when \p read does not throw.
  template <typename Read>
  bool Accepts(Read&& read) {
    const auto words = ListOfEmptyStructs(GetParam().count);
    return kj::runCatchingExceptions([&]() {
             capnp::FlatArrayMessageReader message(
                 kj::arrayPtr(
                     reinterpret_cast<const capnp::word*>(words.data()),
                     words.size()),
                 ReaderLimits());
             EXPECT_EQ(read(message), GetParam().count);
           }) == nullptr;
  }
};

// Guards against a message of a few bytes that makes its reader allocate
// millions of items: empty structs take no space in a list.
TEST_P(list_size_test, IsBounded) {
  EXPECT_EQ(Accepts([](capnp::MessageReader& message) {
              const auto report = message.getRoot<wire::AgentReport>();
              return Decode(report.getResults()).size();
            }),
            GetParam().accepted);
  EXPECT_EQ(Accepts([](capnp::MessageReader& message) {
              const auto batch = message.getRoot<wire::StartBatch>();
              return Decode(batch.getStarts()).size();
            }),
            GetParam().accepted);
}

INSTANTIATE_TEST_SUITE_P(sizes,
                         list_size_test,
                         testing::Values(list_case{0, true},
                                         list_case{kMaxBatchItems, true},
                                         list_case{kMaxBatchItems + 1, false},
                                         list_case{1'000'000, false}),
                         [](const auto& item) {
                           return std::to_string(item.param.count);
                         });

// Guards against a status that reaches the entry without the crashes or the
// rack of the minion, or with other ones.
TEST(status_codec_test, KeepsCrashesAndRack) {
  minion_status status;
  status.service = "quotes";
  status.rack = "r1-3";
  status.crashes = {{"a", 3, 7, crash_role::kLikelyCause},
                    {"b", 0, 8, crash_role::kBeside}};
  capnp::MallocMessageBuilder message;
  const auto wire = message.initRoot<wire::MinionStatus>();
  Encode(status, wire);
  EXPECT_EQ(Decode(wire.asReader()), status);
}

// Guards against a start that reaches the agent without its profile and weight,
// so that its queue gets no share of the room.
TEST(start_codec_test, KeepsProfileAndWeight) {
  start_request order;
  order.service = "quotes";
  order.profile = "counter";
  order.share_weight = 4;
  capnp::MallocMessageBuilder message;
  const auto wire = message.initRoot<wire::Start>();
  Encode(order, wire);
  EXPECT_EQ(Decode(wire.asReader()), order);
}

}  // namespace
}  // namespace jayrill
