#ifndef JAYRILL_RPC_CODEC_H_
#define JAYRILL_RPC_CODEC_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/config/out_list.h"
#include "jayrill/job/start_request.h"
#include "jayrill/job/task_result.h"
#include "jayrill/rpc/dispatch.capnp.h"
#include "jayrill/rpc/entry_endpoint.h"

namespace jayrill {

/// Version of the protocol between entries and agents. Both sides refuse a
/// peer with another version.
inline constexpr std::uint32_t kProtocolVersion = 4;

/// Limit of the entries that an agent takes from one list, so that a faulty
/// list cannot fill its memory.
inline constexpr std::uint32_t kMaxListedEntries = 1024;

/// The same for the data centres that are out.
inline constexpr std::uint32_t kMaxListedDataCentres = 1024;

/// Writes a domain value into a message under construction. Durations that the
/// message cannot hold are limited to its range.
void Encode(const start_request& order, wire::Start::Builder wire);
void Encode(const task_result& result, wire::TaskResult::Builder wire);
void Encode(const minion_status& status, wire::MinionStatus::Builder wire);
void Encode(const std::vector<entry_endpoint>& entries,
            capnp::List<wire::EntryEndpoint>::Builder wire);

/// \returns the domain value of a received message. An outcome that this
/// release does not know becomes kUnknown, an unknown reason becomes kNone.
start_request Decode(wire::Start::Reader wire);
task_result Decode(wire::TaskResult::Reader wire);
task_crash Decode(wire::TaskCrash::Reader wire);
minion_status Decode(wire::MinionStatus::Reader wire);

/// \returns the domain values of a received list. Throws kj::Exception, which
/// ends the call, when there are more than kMaxBatchItems.
std::vector<start_request> Decode(capnp::List<wire::Start>::Reader wire);
std::vector<task_result> Decode(capnp::List<wire::TaskResult>::Reader wire);

/// \returns the entries of a received list, without those after the first
/// kMaxListedEntries.
std::vector<entry_endpoint> Decode(
    capnp::List<wire::EntryEndpoint>::Reader wire);

/// A list in a message, with the time since the store has shown its sender that
/// it is current; nothing: not known.
struct aged_out_list {
  out_list list;
  std::optional<std::chrono::milliseconds> age;

  auto operator<=>(const aged_out_list&) const = default;
};

void Encode(const aged_out_list& aged, wire::OutList::Builder wire);

/// \returns the list, without the data centres after the first
/// kMaxListedDataCentres.
aged_out_list Decode(wire::OutList::Reader wire);

/// \returns the time of a steady clock in a message; zero when it is not known.
std::chrono::microseconds DecodeClock(std::uint64_t micros);

/// \returns \p time, on the own steady clock, for a message.
std::uint64_t EncodeClock(steady_time time);

/// \returns the text or data of a received message as a string.
std::string ToString(capnp::Text::Reader text);
std::string ToString(capnp::Data::Reader data);

/// \returns \p bytes as data for a message. The result refers to \p bytes,
/// which must outlive it.
capnp::Data::Reader ToData(const std::string& bytes);

}  // namespace jayrill

#endif  // JAYRILL_RPC_CODEC_H_
