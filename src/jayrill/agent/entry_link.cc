#include "jayrill/agent/entry_link.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "jayrill/agent/internal/agent_port.h"
#include "jayrill/agent/internal/entry_connection.h"
#include "jayrill/agent/internal/link_codec.h"
#include "jayrill/rpc/codec.h"

namespace jayrill {

using agent::internal::DecodeConfig;
using agent::internal::EncodeConfigCopy;
using agent::internal::ToKj;

namespace {

// Limit on the TCP connection and the handshake together; the address is then
// dialled again.
constexpr auto kDialTimeout = 3 * kj::SECONDS;

// Limit on the TCP connection alone. An instance without power does not answer,
// and the kernel repeats the SYN only after 1 s and then 2 s, so dialling again
// finds a returning instance earlier.
constexpr auto kConnectTimeout = 300 * kj::MILLISECONDS;

// Delay before the next dial of an address whose entry is already connected
// through another address.
constexpr auto kAliasDelay = 5 * kj::SECONDS;

// Limit on the answers to start calls that wait for the next report. The entry
// limits its calls in flight, so further ones are answered at once.
constexpr std::size_t kMaxHeldAnswers = 8;

// \returns the time on the agent's clock that an entry has sent back, or
// nothing when the entry does not know it. A faulty entry may send one in the
// future.
std::optional<steady_time> OwnTime(std::uint64_t micros, steady_time now) {
  if (micros == 0) {
    return std::nullopt;
  }
  return std::min(steady_time(DecodeClock(micros)), now);
}

}  // namespace

entry_link::entry_link(std::string address, context& shared)
    : address_(std::move(address)),
      context_(shared),
      schedule_(shared.settings.status_interval),
      tasks_(kj::heap<kj::TaskSet>(
          static_cast<kj::TaskSet::ErrorHandler&>(*this))) {}

entry_link::~entry_link() {
  tasks_ = nullptr;  // Before the connection, to which the tasks refer.
  Close();
}

void entry_link::Start() {
  tasks_->add(kj::evalLater([this] { return ConnectLoop(); }));
}

kj::Promise<void> entry_link::ConnectLoop() {
  dropping_ = false;
  return kj::evalNow([this] { return ConnectOnce(); })
      .catch_([this](kj::Exception&& failure) {
        VLOG(1) << "rpc: entry " << address_ << ": "
                << failure.getDescription().cStr();
      })
      .then([this] {
        Close();
        const bool alias = std::exchange(is_alias_, false);
        return context_.io.getTimer().afterDelay(
            alias ? kAliasDelay : ToKj(backoff_.Next(context_.random)));
      })
      .then([this] { tasks_->add(ConnectLoop()); });
}

kj::Promise<void> entry_link::ConnectOnce() {
  auto& timer = context_.io.getTimer();
  auto connect = context_.io.getNetwork()
                     .parseAddress(kj::StringPtr(address_.c_str()))
                     .then([](kj::Own<kj::NetworkAddress>&& address) {
                       auto connected = address->connect();
                       return connected.attach(kj::mv(address));
                     });
  auto dial =
      timer.timeoutAfter(kConnectTimeout, kj::mv(connect))
          .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
            ++serial_;
            connection_ = kj::heap<agent::internal::entry_connection>(
                kj::mv(stream), static_cast<kj::TaskSet::ErrorHandler&>(*this));
            return Handshake();
          });
  return timer.timeoutAfter(kDialTimeout, kj::mv(dial)).then([this] {
    return connection_->network.onDisconnect().exclusiveJoin(
        kj::mv(connection_->dropped));
  });
}

kj::Promise<void> entry_link::Handshake() {
  return connection_->entry.identifyRequest().send().then([this](
                                                              auto&& response) {
    const auto entry = response.getEntry();
    if (entry.getProtocolVersion() != kProtocolVersion) {
      LOG_EVERY_N(ERROR, 60)
          << "rpc: entry " << address_ << " has protocol version "
          << entry.getProtocolVersion() << ", this agent has "
          << kProtocolVersion << "; update the older of the two";
      kj::throwFatalException(
          KJ_EXCEPTION(FAILED, "the entry has another protocol version"));
    }
    const incarnation id{entry.getIncarnation()};
    if (context_.core.IsConnected(id)) {
      // Only the newest connection of a session is served, so two connections
      // to one entry would fence each other's starts.
      is_alias_ = true;
      kj::throwFatalException(KJ_EXCEPTION(
          FAILED, "the entry is already connected through another address"));
    }
    entry_ = id;
    return SendHello();
  });
}

kj::Promise<void> entry_link::SendHello() {
  auto request = connection_->entry.connectRequest();
  const auto open = context_.core.Connect(entry_);
  epoch_ = open.epoch;
  FillHello(request.initHello(), open);
  request.setAgent(kj::heap<agent::internal::agent_port>(*this, serial_));
  return request.send().then([this](auto&& response) {
    connection_->session = response.getSession();
    OnWelcome(response.getWelcome());
  });
}

void entry_link::FillHello(wire::AgentHello::Builder hello,
                           entry_session::opening open) {
  const agent_settings& settings = context_.settings;
  hello.setProtocolVersion(kProtocolVersion);
  hello.setAgentId(settings.id);
  hello.setIncarnation(context_.self.value);
  hello.setDataCentre(settings.data_centre);
  hello.setWorker(settings.worker);
  hello.setRack(settings.rack);
  hello.setEpoch(open.epoch.value);
  hello.setLastAccepted(open.last_accepted.value);
  hello.setSession(open.session.value);
  EncodeConfigCopy(context_.core.config(), hello.initConfig());
  Encode(context_.core.Status(), hello.initStatus());
  hello_sent_at_ = context_.time.Now();
  hello.setSentMicros(EncodeClock(hello_sent_at_));
  entry_revision_ = context_.core.config().revision;
  entry_out_list_ = context_.core.data_centres_out().list();
  Encode({entry_out_list_, std::nullopt}, hello.initOutList());
}

void entry_link::OnWelcome(wire::EntryWelcome::Reader welcome) {
  if (dropping_) {
    return;
  }
  LOG(INFO) << "rpc: connected to entry " << address_ << " " << ToString(entry_)
            << " resumed=" << welcome.getResumed();
  backoff_.Reset();
  schedule_.Open(context_.time.Now(),
                 std::chrono::milliseconds(welcome.getHeartbeatMs()),
                 context_.core.Status());
  schedule_.SetWantedStatusInterval(
      std::chrono::milliseconds(welcome.getStatusMs()));
  context_.core.SetHeartbeat(schedule_.heartbeat());
  context_.core.OnAlive(entry_, hello_sent_at_);
  // The entry also has the configuration of the hello if that one is newer.
  entry_revision_ = std::max(
      entry_revision_, config_revision{welcome.getConfig().getRevision()});
  context_.core.OfferConfig(DecodeConfig(welcome.getConfig()));
  OnOutList(Decode(welcome.getOutList()), hello_sent_at_);
  context_.core.Welcome(entry_, welcome.getResumed(),
                        session_number{welcome.getSession()});
  handshake_done_ = true;
  SetListedEntries(welcome.getEntries());
  for (const start_batch& batch : std::exchange(early_batches_, {})) {
    context_.core.AdmitBatch(entry_, batch);
  }
  context_.core.Cancel(entry_, std::exchange(early_cancels_, {}));
  ScheduleReport();
}

void entry_link::Close() {
  handshake_done_ = false;
  retiring_ = false;
  retirement_acknowledged_ = false;
  config_due_ = false;
  reports_in_flight_ = 0;
  early_batches_.clear();
  early_cancels_.clear();
  held_answers_.clear();
  held_responses_.clear();
  if (connection_.get() == nullptr) {
    return;
  }
  // Late calls of the entry carry the old serial number and are ignored.
  ++serial_;
  if (entry_.value != 0) {
    context_.core.SetRetiring(entry_, false);
    context_.core.Disconnect(entry_, epoch_);
    entry_ = {};
  }
  connection_ = nullptr;
}

void entry_link::Drop(const std::string& reason) {
  if (connection_.get() == nullptr || dropping_) {
    return;
  }
  LOG(WARNING) << "rpc: dropping the connection to entry " << address_ << ": "
               << reason;
  dropping_ = true;
  connection_->drop_fulfiller->fulfill();
}

bool entry_link::IsCurrent(std::uint64_t serial) const {
  return serial == serial_ && !dropping_;
}

bool entry_link::OnMessage(std::uint64_t serial) {
  if (!IsCurrent(serial)) {
    return false;
  }
  schedule_.OnMessageReceived(context_.time.Now());
  return true;
}

kj::Promise<void> entry_link::OnStart(std::uint64_t serial,
                                      wire::StartBatch::Reader wire_batch) {
  if (!OnMessage(serial)) {
    return kj::READY_NOW;
  }
  start_batch batch;
  batch.revision = config_revision{wire_batch.getRevision()};
  batch.epoch = connection_epoch{wire_batch.getEpoch()};
  batch.starts = Decode(wire_batch.getStarts());
  batch.placed = OwnTime(wire_batch.getAgentMicros(), context_.time.Now());
  entry_revision_ = batch.revision;
  config_due_ |= batch.revision < context_.core.config().revision;
  if (handshake_done_) {
    context_.core.AdmitBatch(entry_, batch);
  } else {
    early_batches_.push_back(std::move(batch));
  }
  if (held_answers_.size() >= kMaxHeldAnswers) {
    return kj::READY_NOW;
  }
  auto answer = kj::newPromiseAndFulfiller<void>();
  held_answers_.add(kj::mv(answer.fulfiller));
  return kj::mv(answer.promise);
}

void entry_link::ReleaseHeldMessages() {
  for (auto& answer : held_answers_) {
    answer->fulfill();
  }
  held_answers_.clear();
  held_responses_.clear();
}

void entry_link::OnCancel(std::uint64_t serial,
                          capnp::List<std::uint64_t>::Reader wire_numbers) {
  if (!OnMessage(serial)) {
    return;
  }
  std::vector<start_number> numbers;
  numbers.reserve(wire_numbers.size());
  for (const std::uint64_t number : wire_numbers) {
    numbers.push_back(start_number{number});
  }
  if (handshake_done_) {
    context_.core.Cancel(entry_, numbers);
  } else {
    early_cancels_.insert(early_cancels_.end(), numbers.begin(), numbers.end());
  }
}

config_revision entry_link::OnConfigure(std::uint64_t serial,
                                        wire::Config::Reader config) {
  if (OnMessage(serial)) {
    entry_revision_ = config_revision{config.getRevision()};
    context_.core.OfferConfig(DecodeConfig(config));
  }
  return context_.core.config().revision;
}

void entry_link::OnHeartbeat(std::uint64_t serial,
                             capnp::List<wire::EntryEndpoint>::Reader entries,
                             wire::OutList::Reader list) {
  if (OnMessage(serial)) {
    SetListedEntries(entries);
    OnOutList(Decode(list), std::nullopt);
  }
}

void entry_link::OnOutList(const aged_out_list& aged,
                           std::optional<steady_time> asked) {
  if (aged.list.revision >= entry_out_list_.revision) {
    entry_out_list_ = aged.list;
  }
  std::optional<steady_time> confirmed;
  if (asked && aged.age) {
    confirmed = *asked - *aged.age;
  }
  context_.core.OfferOutList(aged.list, confirmed);
}

void entry_link::OnOutListChanged() {
  if (ShouldSendOutList()) {
    ScheduleReport();
  }
}

void entry_link::SetListedEntries(
    capnp::List<wire::EntryEndpoint>::Reader entries) {
  std::vector<entry_endpoint> listed = Decode(entries);
  if (listed != listed_entries_) {
    listed_entries_ = std::move(listed);
    context_.on_addresses_changed();
  }
}

void entry_link::SetRetiring(bool retiring) {
  if (!handshake_done_ || retiring == retiring_) {
    return;
  }
  LOG(INFO) << "rpc: " << (retiring ? "leaving" : "keeping") << " entry "
            << address_ << " " << ToString(entry_);
  retiring_ = retiring;
  retirement_acknowledged_ = false;
  context_.core.SetRetiring(entry_, retiring);
  ScheduleReport();
}

bool entry_link::IsRetired() const {
  return retiring_ && retirement_acknowledged_ && context_.core.IsIdle(entry_);
}

void entry_link::Tick() {
  if (!handshake_done_ || dropping_) {
    return;
  }
  const steady_time now = context_.time.Now();
  const agent_settings& settings = context_.settings;
  if (context_.core.HasGuardedRuns(entry_)) {
    const steady_time last_heard = context_.core.Session(entry_).last_heard();
    if (now - last_heard > settings.silence_timeout) {
      Drop("the entry was silent while its tasks were running");
      return;
    }
    if (now - std::max(last_heard, schedule_.reported()) >=
        settings.run_heartbeat) {
      ScheduleReport();
      return;
    }
  }
  if (schedule_.IsSilent(now)) {
    Drop("the entry was silent for three heartbeat intervals");
  } else if (schedule_.IsHeartbeatDue(now)) {
    ScheduleReport();
  }
}

kj::Promise<void> entry_link::SendGoodbye() {
  if (!handshake_done_ || dropping_) {
    return kj::READY_NOW;
  }
  return connection_->session.goodbyeRequest().send().ignoreResult().catch_(
      [](kj::Exception&&) {});
}

void entry_link::taskFailed(kj::Exception&& failure) {
  Drop(failure.getDescription().cStr());
}

}  // namespace jayrill
