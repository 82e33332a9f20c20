#include "jayrill/entry/entry_process.h"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "jayrill/entry/listen_address.h"
#include "jayrill/entry/main_thread.h"
#include "jayrill/membership/team_shares.h"
#include "jayrill/store/etcd_store.h"
#include "jayrill/store/memory_store.h"

namespace jayrill {
namespace {

// Each tick asks for a status while the entry is not ready, and checks whether
// the entry has drained while it stops. The interval therefore limits the age
// of the readiness and the delay of the last steps of a stop.
constexpr std::chrono::milliseconds kTickInterval{250};

// While the entry is ready, only every fourth tick asks for a status, since the
// status has a part for each agent. The entry record, which is made from it, is
// written only every 5 s.
constexpr int kTicksPerStatus = 4;

// Age of the last confirmation from which the configuration counts as
// unconfirmed. The store confirms it about once a second.
constexpr std::chrono::seconds kUnconfirmedAfter{3};

dispatch_settings DispatchSettings(const entry_settings& settings,
                                   incarnation self,
                                   std::uint64_t seed) {
  dispatch_settings dispatch;
  dispatch.entry_id = settings.id;
  dispatch.entry = self;
  dispatch.data_centre = settings.data_centre;
  dispatch.listen = settings.rpc_listen;
  dispatch.strategy = settings.strategy;
  dispatch.processor_cores = settings.processor_cores;
  dispatch.limits = settings.limits;
  dispatch.random_seed = seed;
  return dispatch;
}

std::uint32_t CpuMillis(const entry_settings& settings) {
  constexpr double kMillis = 1000;
  return static_cast<std::uint32_t>(settings.processor_cores * kMillis);
}

entry_endpoint EndpointOf(const entry_record& record) {
  return {record.rpc_address, record.data_centre, record.cpu_millis};
}

}  // namespace

entry_process::entry_process(entry_settings settings,
                             const clock& time,
                             entry_overrides overrides)
    : settings_(std::move(settings)),
      time_(time),
      random_(random_source::FromSystem()),
      incarnation_{random_()},
      store_(overrides.external_store),
      callers_progress_(time),
      dispatch_(DispatchSettings(settings_, incarnation_, random_()), time),
      overrides_(std::move(overrides)),
      last_confirmed_wall_time_(time.WallNow()) {
  if (store_ == nullptr && overrides_.make_store) {
    own_store_ = overrides_.make_store(timers_);
  } else if (store_ == nullptr && settings_.store_endpoints.empty()) {
    own_store_ = std::make_unique<memory_store>(timers_, time_);
  } else if (store_ == nullptr) {
    own_store_ = std::make_unique<etcd_store>(
        timers_, etcd_store::options{settings_.store_endpoints});
  }
  store_ = own_store_ ? own_store_.get() : store_;
}

entry_process::~entry_process() {
  // The HTTP server is destroyed first, since its exchanges call the APIs. The
  // dispatcher stops before the other members are destroyed, since its thread
  // calls this object.
  http_.reset();
  jobs_.reset();
  dispatch_.Stop();
}

result<void> entry_process::Start() {
  dispatch_.OnNewerConfig(
      [this, offer_config = guard_.Wrap([this](shared_config next) {
        config_->Offer(std::move(next));
      })](shared_config config) {
        PostToMainThread([offer_config, config = std::move(config)]() mutable {
          offer_config(std::move(config));
        });
      });
  dispatch_.FollowCallers(callers_progress_);
  const result<std::uint16_t> rpc_port = dispatch_.Start();
  if (!rpc_port) {
    return tl::unexpected(rpc_port.error());
  }
  rpc_port_ = *rpc_port;
  MakeStoreClients();
  MakeApis();
  if (const auto listening = Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  JoinMembership();
  QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_,
                   [this] { Tick(); });
  tick_timer_.start(kTickInterval);
  QObject::connect(&loop_timer_, &QTimer::timeout, &loop_timer_,
                   [this] { callers_progress_.Tick(); });
  loop_timer_.start(loop_progress::kTickInterval);
  Tick();
  LOG(INFO) << "entry: started id=" << settings_.id
            << " incarnation=" << ToString(incarnation_)
            << " http_port=" << http_port_ << " rpc_port=" << rpc_port_;
  return {};
}

void entry_process::MakeStoreClients() {
  const config_source::listener listener{
      [this](const shared_config& config) { OnConfig(config); },
      [this] { OnConfirmed(); },
      [this](const out_list& list, steady_time confirmed) {
        dispatch_.OfferOutList(list, confirmed);
      }};
  if (overrides_.translator != nullptr) {
    config_ = std::make_unique<translated_config_source>(
        *store_, *overrides_.translator, listener);
  } else {
    config_ = std::make_unique<config_store>(
        *store_, timers_, time_, random_source(random_()), listener);
  }
  ledger_ = std::make_unique<claim_ledger>(
      *store_, timers_, time_, random_source(random_()), incarnation_);
  claims_ = std::make_unique<ledger_claims>(*ledger_);
}

void entry_process::JoinMembership() {
  entry_record record;
  record.id = settings_.id;
  record.process = incarnation_;
  record.http_address = settings_.http_advertise.empty()
                            ? WithPort(settings_.http_listen, http_port_)
                            : settings_.http_advertise;
  record.rpc_address = settings_.rpc_advertise.empty()
                           ? WithPort(settings_.rpc_listen, rpc_port_)
                           : settings_.rpc_advertise;
  settings_.http_advertise = record.http_address;
  settings_.rpc_advertise = record.rpc_address;
  record.data_centre = settings_.data_centre;
  record.cpu_millis = CpuMillis(settings_);
  dispatch_.SetEntries({EndpointOf(record)});
  membership_ = std::make_unique<membership>(
      *store_, timers_, time_, std::move(record),
      [this](const std::vector<entry_record>& entries) { OnEntries(entries); });
}

void entry_process::Tick() {
  if (!IsReady() || ++tick_count_ % kTicksPerStatus == 0) {
    GetStatus([this](dispatch_status status) { OnStatus(std::move(status)); });
  }
  if (stopping_) {
    CheckDrained();
  }
}

void entry_process::GetStatus(std::function<void(dispatch_status)> done) {
  dispatch_.GetStatus(
      [done = guard_.Wrap(std::move(done))](dispatch_status status) {
        PostToMainThread([done, status = std::move(status)]() mutable {
          done(std::move(status));
        });
      });
}

void entry_process::OnStatus(dispatch_status status) {
  status_ = std::move(status);
  entry_record record;
  record.id = settings_.id;
  record.process = incarnation_;
  record.http_address = settings_.http_advertise;
  record.rpc_address = settings_.rpc_advertise;
  record.data_centre = settings_.data_centre;
  record.cpu_millis = CpuMillis(settings_);
  // Only the demand of teams with a quota matters to others. Without the rest
  // the record seldom changes, and each change is read by every entry.
  std::erase_if(status_.team_demand, [this](const auto& demand) {
    return !config_->current()->teams.contains(demand.first);
  });
  membership_->Update(MakeEntryRecord(status_, std::move(record)));
}

void entry_process::OnConfig(const shared_config& config) {
  has_config_ = true;
  dispatch_.OfferConfig(config);
  UpdateShares();
}

void entry_process::OnConfirmed() {
  if (!std::exchange(has_config_, true)) {
    // The store holds no configuration yet, so the empty one is in force.
    dispatch_.OfferConfig(config_->current());
  }
  last_confirmed_steady_time_ = time_.Now();
  last_confirmed_wall_time_ = time_.WallNow();
  dispatch_.ConfirmConfig();
}

void entry_process::OnEntries(const std::vector<entry_record>& entries) {
  const entry_endpoint own{settings_.rpc_advertise, settings_.data_centre,
                           CpuMillis(settings_)};
  std::map<std::string, entry_endpoint> by_address{{own.address, own}};
  for (const entry_record& entry : entries) {
    by_address.emplace(entry.rpc_address, EndpointOf(entry));
  }
  std::vector<entry_endpoint> endpoints;
  endpoints.reserve(by_address.size());
  for (const auto& [address, endpoint] : by_address) {
    endpoints.push_back(endpoint);
  }
  dispatch_.SetEntries(std::move(endpoints));
  UpdateShares();
}

void entry_process::UpdateShares() {
  if (!membership_) {
    return;
  }
  std::set<std::string> teams;
  for (const auto& [name, quota] : config_->current()->teams) {
    teams.insert(name);
  }
  dispatch_.SetTeamShares(
      TeamShares(membership_->Entries(), settings_.id, teams));
}

std::optional<wall_time> entry_process::UnconfirmedSince() const {
  if (last_confirmed_steady_time_ &&
      time_.Now() - *last_confirmed_steady_time_ <= kUnconfirmedAfter) {
    return std::nullopt;
  }
  return last_confirmed_wall_time_;
}

entry_status entry_process::Status(dispatch_status dispatch) const {
  entry_status status;
  status.id = settings_.id;
  status.data_centre = settings_.data_centre;
  status.config = has_config_ ? config_->current() : nullptr;
  status.ready = IsReady();
  status.unconfirmed_since = UnconfirmedSince();
  status.store_reachable = !status.unconfirmed_since;
  status.dispatch = std::move(dispatch);
  status.entries = membership_->Entries();
  return status;
}

bool entry_process::IsReady() const {
  return dispatch_.View().ready && !stopping_;
}

void entry_process::Stop() {
  if (std::exchange(stopping_, true)) {
    return;
  }
  LOG(INFO) << "entry: stopping jobs=" << jobs_->pending_jobs();
  http_->CloseAfterReplies();
  if (settings_.stop_delay.count() == 0) {
    BeginDrain();
  } else {
    timers_.After(settings_.stop_delay, guard_.Wrap([this] { BeginDrain(); }));
  }
}

void entry_process::BeginDrain() {
  jobs_->BeginDrain();
  // The dispatcher still takes the jobs that are held by now.
  timers_.After(job_api::kCallerCheckTime, guard_.Wrap([this] {
    dispatch_.Drain([done = guard_.Wrap([this] { OnDrained(); })] {
      PostToMainThread(done);
    });
  }));
}

void entry_process::OnDrained() {
  drained_ = true;
  CheckDrained();
}

void entry_process::CheckDrained() {
  // Jobs whose claim is still being written get their outcome shortly after the
  // dispatcher has drained.
  if (!drained_ || storing_claims_ || jobs_->pending_jobs() > 0) {
    return;
  }
  storing_claims_ = true;
  ledger_->Stop(settings_.claim_stop_limit,
                guard_.Wrap([this] { OnClaimsStored(); }));
}

void entry_process::OnClaimsStored() {
  membership_->Leave(guard_.Wrap([this] { OnMembershipLeft(); }));
}

void entry_process::OnMembershipLeft() {
  http_->Stop(guard_.Wrap([this] {
    // Posted, because a function of a socket or of the store may still be on
    // the stack.
    PostToMainThread(guard_.Wrap([this] {
      LOG(INFO) << "entry: stopped id=" << settings_.id;
      if (stopped_) {
        stopped_();
      }
    }));
  }));
}

}  // namespace jayrill
