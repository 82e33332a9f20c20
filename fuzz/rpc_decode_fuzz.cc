#include <capnp/serialize.h>
#include <kj/array.h>
#include <kj/exception.h>

#include <cmath>
#include <cstring>

#include "fuzz_target.h"
#include "jayrill/config/config_codec.h"
#include "jayrill/rpc/codec.h"
#include "jayrill/rpc/reader_limits.h"

namespace {

using jayrill::fuzz::Require;

constexpr std::chrono::hours kDay{24};

void ReadReport(jayrill::wire::AgentReport::Reader report) {
  for (const jayrill::task_result& result :
       jayrill::Decode(report.getResults())) {
    Require(result.outcome >= jayrill::task_outcome::kSucceeded &&
                result.outcome <= jayrill::task_outcome::kInterrupted &&
                result.reason <= jayrill::not_run_reason::kRefused,
            "enumerators have known values");
    Require(result.run_time >= std::chrono::microseconds::zero() &&
                result.run_time <= kDay &&
                result.wait_time >= std::chrono::microseconds::zero() &&
                result.wait_time <= kDay,
            "durations are in their range");
  }
  const jayrill::minion_status status = jayrill::Decode(report.getStatus());
  Require(status.time_until_free <= kDay, "the expected wait is in its range");
  jayrill::UnpackConfig(jayrill::ToString(report.getConfig().getPacked()));
}

void ReadBatch(jayrill::wire::StartBatch::Reader batch) {
  for (const jayrill::start_request& order :
       jayrill::Decode(batch.getStarts())) {
    Require(order.remaining >= std::chrono::milliseconds::zero(),
            "the remaining time is not negative");
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  // The first byte selects the message type; the rest is the message.
  const bool is_report = (data[0] & 1U) == 0;
  auto words = kj::heapArray<capnp::word>((size - 1) / sizeof(capnp::word));
  if (words.size() > 0) {
    std::memcpy(words.begin(), data + 1, words.size() * sizeof(capnp::word));
  }
  const auto failure = kj::runCatchingExceptions([&]() {
    capnp::FlatArrayMessageReader message(words, jayrill::ReaderLimits());
    if (is_report) {
      ReadReport(message.getRoot<jayrill::wire::AgentReport>());
    } else {
      ReadBatch(message.getRoot<jayrill::wire::StartBatch>());
    }
  });
  // An invalid message throws an exception, which is expected. In the server it
  // ends the RPC call.
  static_cast<void>(failure);
  return 0;
}
