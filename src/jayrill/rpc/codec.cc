#include "jayrill/rpc/codec.h"

#include <algorithm>
#include <limits>

#include "jayrill/rpc/reader_limits.h"

namespace jayrill {

namespace {

/// Stands for an age that is not known.
constexpr std::uint32_t kUnknownAge = std::numeric_limits<std::uint32_t>::max();

std::uint32_t ToWireMillis(std::chrono::milliseconds duration) {
  const auto limit =
      static_cast<std::int64_t>(std::numeric_limits<std::uint32_t>::max());
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(duration.count(), 0, limit));
}

std::uint64_t ToWireMicros(std::chrono::microseconds duration) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(duration.count(), 0));
}

std::chrono::microseconds FromWireMicros(std::uint64_t micros) {
  // Limited to a day, so that sums of durations from a faulty peer cannot
  // overflow.
  constexpr std::uint64_t kDayMicros = 86'400'000'000;
  return std::chrono::microseconds(std::min(micros, kDayMicros));
}

wire::TaskOutcome ToWire(task_outcome outcome) {
  switch (outcome) {
    case task_outcome::kSucceeded:
      return wire::TaskOutcome::SUCCEEDED;
    case task_outcome::kFailed:
      return wire::TaskOutcome::FAILED;
    case task_outcome::kNotRun:
      return wire::TaskOutcome::NOT_RUN;
    case task_outcome::kUnknown:
      return wire::TaskOutcome::UNKNOWN;
    case task_outcome::kInterrupted:
      return wire::TaskOutcome::INTERRUPTED;
  }
  return wire::TaskOutcome::UNKNOWN;
}

task_outcome FromWire(wire::TaskOutcome outcome) {
  switch (outcome) {
    case wire::TaskOutcome::SUCCEEDED:
      return task_outcome::kSucceeded;
    case wire::TaskOutcome::FAILED:
      return task_outcome::kFailed;
    case wire::TaskOutcome::NOT_RUN:
      return task_outcome::kNotRun;
    case wire::TaskOutcome::UNKNOWN:
      return task_outcome::kUnknown;
    case wire::TaskOutcome::INTERRUPTED:
      return task_outcome::kInterrupted;
  }
  return task_outcome::kUnknown;
}

// not_run_reason and wire::NotRunReason are converted by value, so their
// enumerators must have the same order.
constexpr auto kLastReason = static_cast<std::uint16_t>(not_run_reason::kBusy);
static_assert(kLastReason ==
              static_cast<std::uint16_t>(wire::NotRunReason::BUSY));

not_run_reason FromWire(wire::NotRunReason reason) {
  const auto number = static_cast<std::uint16_t>(reason);
  return number > kLastReason ? not_run_reason::kNone
                              : static_cast<not_run_reason>(number);
}

void EncodeAmount(const resource_amount& amount,
                  wire::ResourceAmount::Builder wire) {
  wire.setCpuMillis(amount.cpu_millis);
  wire.setMemoryMb(amount.memory_mb);
  wire.setAccelerators(amount.accelerators);
  wire.setZeroMeansNone(amount.zero_means_none);
}

resource_amount DecodeAmount(wire::ResourceAmount::Reader wire) {
  return {wire.getCpuMillis(), wire.getMemoryMb(), wire.getAccelerators(),
          wire.getZeroMeansNone()};
}

template <typename Value, typename List>
std::vector<Value> DecodeList(List wire) {
  KJ_REQUIRE(wire.size() <= kMaxBatchItems, "too many items in one message",
             wire.size());
  std::vector<Value> values;
  values.reserve(wire.size());
  for (const auto item : wire) {
    values.push_back(Decode(item));
  }
  return values;
}

}  // namespace

void Encode(const start_request& order, wire::Start::Builder wire) {
  wire.setNumber(order.number.value);
  wire.setJobEntry(order.job.entry.value);
  wire.setJobSequence(order.job.sequence);
  wire.setTaskIndex(order.task_index);
  wire.setService(order.service);
  wire.setKind(order.kind);
  wire.setPayload(ToData(order.payload));
  wire.setRemainingMs(ToWireMillis(order.remaining));
  wire.setPriority(order.priority);
  wire.setJobName(order.job_name);
  wire.setAttempt(order.attempt);
  wire.setExpectedRunMs(ToWireMillis(order.expected_run));
  wire.setTypicalRunMs(ToWireMillis(order.typical_run));
  wire.setMaxWaitMs(ToWireMillis(order.max_wait));
  wire.setProfile(order.profile);
  wire.setShareWeight(order.share_weight);
  EncodeAmount(order.needs, wire.initNeeds());
}

void Encode(const task_result& result, wire::TaskResult::Builder wire) {
  wire.setNumber(result.number.value);
  wire.setOutcome(ToWire(result.outcome));
  wire.setBody(ToData(result.body));
  wire.setMessage(result.message);
  wire.setRunMicros(ToWireMicros(result.run_time));
  wire.setWaitMicros(ToWireMicros(result.wait_time));
  wire.setReason(static_cast<wire::NotRunReason>(result.reason));
}

void Encode(const minion_status& status, wire::MinionStatus::Builder wire) {
  wire.setService(status.service);
  wire.setSlots(status.slots);
  wire.setConnections(status.connections);
  wire.setBusy(status.busy);
  wire.setQueued(status.queued);
  wire.setDraining(status.draining);
  wire.setConfigRevision(status.revision.value);
  wire.setCores(status.cores);
  wire.setMemoryMb(status.memory_mb);
  wire.setAccelerators(status.accelerators);
  wire.setExpectedFreeMicros(ToWireMicros(status.time_until_free));
  EncodeAmount(status.room, wire.initRoom());
  EncodeAmount(status.used, wire.initUsed());
  wire.setWarmingUpMs(ToWireMillis(status.warm_up_remaining));
  wire.setSlownessPercent(status.slowness_percent);
  wire.setRack(status.rack);
  auto crashes = wire.initCrashes(static_cast<unsigned>(status.crashes.size()));
  for (unsigned i = 0; i < crashes.size(); ++i) {
    const task_crash& crash = status.crashes[i];
    crashes[i].setJobName(crash.job_name);
    crashes[i].setTaskIndex(crash.task_index);
    crashes[i].setNumber(crash.number);
    crashes[i].setIsLikelyCause(crash.role == crash_role::kLikelyCause);
  }
}

void Encode(const std::vector<entry_endpoint>& entries,
            capnp::List<wire::EntryEndpoint>::Builder wire) {
  for (unsigned i = 0; i < wire.size(); ++i) {
    wire[i].setAddress(entries[i].address);
    wire[i].setDataCentre(entries[i].data_centre);
    wire[i].setCpuMillis(entries[i].cpu_millis);
  }
}

start_request Decode(wire::Start::Reader wire) {
  start_request order;
  order.number = start_number{wire.getNumber()};
  order.job = job_id{incarnation{wire.getJobEntry()}, wire.getJobSequence()};
  order.task_index = wire.getTaskIndex();
  order.service = ToString(wire.getService());
  order.kind = ToString(wire.getKind());
  order.payload = ToString(wire.getPayload());
  order.remaining = std::chrono::milliseconds(wire.getRemainingMs());
  order.priority = wire.getPriority();
  order.job_name = ToString(wire.getJobName());
  order.attempt = wire.getAttempt();
  order.needs = DecodeAmount(wire.getNeeds());
  order.expected_run = std::chrono::milliseconds(wire.getExpectedRunMs());
  order.typical_run = std::chrono::milliseconds(wire.getTypicalRunMs());
  order.max_wait = std::chrono::milliseconds(wire.getMaxWaitMs());
  order.profile = ToString(wire.getProfile());
  order.share_weight = wire.getShareWeight();
  return order;
}

task_result Decode(wire::TaskResult::Reader wire) {
  task_result result;
  result.number = start_number{wire.getNumber()};
  result.outcome = FromWire(wire.getOutcome());
  result.body = ToString(wire.getBody());
  result.message = ToString(wire.getMessage());
  result.reason = FromWire(wire.getReason());
  result.run_time = FromWireMicros(wire.getRunMicros());
  result.wait_time = FromWireMicros(wire.getWaitMicros());
  return result;
}

task_crash Decode(wire::TaskCrash::Reader wire) {
  return {
      ToString(wire.getJobName()), wire.getTaskIndex(), wire.getNumber(),
      wire.getIsLikelyCause() ? crash_role::kLikelyCause : crash_role::kBeside};
}

minion_status Decode(wire::MinionStatus::Reader wire) {
  minion_status status;
  status.service = ToString(wire.getService());
  status.slots = wire.getSlots();
  status.connections = wire.getConnections();
  status.busy = wire.getBusy();
  status.queued = wire.getQueued();
  status.draining = wire.getDraining();
  status.revision = config_revision{wire.getConfigRevision()};
  status.cores = wire.getCores();
  status.memory_mb = wire.getMemoryMb();
  status.accelerators = wire.getAccelerators();
  status.time_until_free = FromWireMicros(wire.getExpectedFreeMicros());
  status.room = DecodeAmount(wire.getRoom());
  status.used = DecodeAmount(wire.getUsed());
  status.warm_up_remaining = std::chrono::milliseconds(wire.getWarmingUpMs());
  status.slowness_percent = wire.getSlownessPercent();
  status.rack = ToString(wire.getRack());
  status.crashes = DecodeList<task_crash>(wire.getCrashes());
  return status;
}

std::vector<start_request> Decode(capnp::List<wire::Start>::Reader wire) {
  return DecodeList<start_request>(wire);
}

std::vector<task_result> Decode(capnp::List<wire::TaskResult>::Reader wire) {
  return DecodeList<task_result>(wire);
}

std::vector<entry_endpoint> Decode(
    capnp::List<wire::EntryEndpoint>::Reader wire) {
  std::vector<entry_endpoint> entries;
  entries.reserve(std::min(wire.size(), kMaxListedEntries));
  for (const auto entry : wire) {
    if (entries.size() == kMaxListedEntries) {
      break;
    }
    entries.push_back({ToString(entry.getAddress()),
                       ToString(entry.getDataCentre()), entry.getCpuMillis()});
  }
  return entries;
}

void Encode(const aged_out_list& aged, wire::OutList::Builder wire) {
  wire.setRevision(aged.list.revision.value);
  wire.setAgeMs(aged.age ? std::min(ToWireMillis(*aged.age), kUnknownAge - 1)
                         : kUnknownAge);
  auto names = wire.initDataCentres(
      static_cast<unsigned>(aged.list.data_centres.size()));
  unsigned index = 0;
  for (const std::string& name : aged.list.data_centres) {
    names.set(index++, name);
  }
}

aged_out_list Decode(wire::OutList::Reader wire) {
  aged_out_list aged{{{wire.getRevision()}, {}}, std::nullopt};
  if (wire.getAgeMs() != kUnknownAge) {
    aged.age = std::chrono::milliseconds(wire.getAgeMs());
  }
  for (const auto name : wire.getDataCentres()) {
    if (aged.list.data_centres.size() == kMaxListedDataCentres) {
      break;
    }
    aged.list.data_centres.insert(ToString(name));
  }
  return aged;
}

std::chrono::microseconds DecodeClock(std::uint64_t micros) {
  // Limited, so that sums with a time from a faulty peer cannot overflow, also
  // in nanoseconds.
  constexpr std::uint64_t kMaxClockMicros = 1'000'000'000'000'000;
  return std::chrono::microseconds(std::min(micros, kMaxClockMicros));
}

std::uint64_t EncodeClock(steady_time time) {
  return ToWireMicros(std::chrono::duration_cast<std::chrono::microseconds>(
      time.time_since_epoch()));
}

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string ToString(capnp::Data::Reader data) {
  const auto chars = data.asChars();
  return {chars.begin(), chars.size()};
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return capnp::Data::Reader(reinterpret_cast<const capnp::byte*>(bytes.data()),
                             bytes.size());
}

}  // namespace jayrill
