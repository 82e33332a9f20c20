#include "jayrill/agent/internal/agent_loop.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "jayrill/agent/entry_selection.h"

namespace jayrill::agent::internal {

namespace {

// Limit on the wait for the entries' answers to goodbye.
constexpr auto kGoodbyeLimit = 1 * kj::SECONDS;

constexpr auto kTick = kPauseTick.count() * kj::MILLISECONDS;

}  // namespace

agent_loop::agent_loop(const agent_settings& settings,
                       const clock& time,
                       work_queue& inbox,
                       output sinks)
    : settings_(settings),
      time_(time),
      inbox_(inbox),
      output_(std::move(sinks)),
      random_(random_source::FromSystem()),
      io_(kj::setupAsyncIo()),
      inbox_observer_(io_.unixEventPort,
                      inbox.event_fd(),
                      kj::UnixEventPort::FdObserver::OBSERVE_READ),
      core_(settings, time, *this),
      out_list_refresh_(time, random_source(random_())),
      link_context_{
          settings, time,  incarnation{random_()},          *io_.provider,
          random_,  core_, [this] { ScheduleLinkUpdate(); }},
      seeds_(settings.entries),
      tasks_(*this) {
  auto paf = kj::newPromiseAndFulfiller<void>();
  end_promise_ = kj::mv(paf.promise);
  end_fulfiller_ = kj::mv(paf.fulfiller);
}

agent_loop::~agent_loop() noexcept = default;

void agent_loop::Run() {
  tasks_.add(ServeInbox());
  tasks_.add(ServeTicks());
  UpdateLinks();
  end_promise_.wait(io_.waitScope);
  links_.clear();
}

kj::Promise<void> agent_loop::ServeInbox() {
  return inbox_observer_.whenBecomesReadable().then([this] {
    inbox_.Drain();
    tasks_.add(ServeInbox());
  });
}

kj::Promise<void> agent_loop::ServeTicks() {
  return io_.provider->getTimer().afterDelay(kTick).then([this] {
    core_.Tick();
    for (const auto& [address, link] : links_) {
      link->Tick();
    }
    CloseRetiredLinks();
    RefreshOutList();
    if (connected_links() != links_at_last_tick_) {
      links_at_last_tick_ = connected_links();
      ScheduleLinkUpdate();
    }
    output_.on_view({core_.counters(), core_.Status(), connected_links(), 0,
                     core_.queue_usages()});
    if (stop_started_at_) {
      FinishStop();
    }
    tasks_.add(ServeTicks());
  });
}

void agent_loop::RefreshOutList() {
  if (!output_.read_out_list) {
    return;
  }
  const auto confirmed = core_.data_centres_out().confirmed();
  if (out_list_refresh_.ShouldAskEntry(confirmed)) {
    AskNextEntry();
  }
  const auto limit = out_list_refresh_.Tick(confirmed);
  if (!limit) {
    return;
  }
  ++core_.counters().out_list_reads;
  const steady_time now = time_.Now();
  if (out_list_log_limit_.Allows(now)) {
    using std::chrono::milliseconds;
    LOG(INFO)
        << "config: reading the data centres that are out; connected="
        << connected_links() << " confirmed_ms_ago="
        << (confirmed
                ? std::chrono::floor<milliseconds>(now - *confirmed).count()
                : -1)
        << out_list_log_limit_.TakeLinesLeftOutField();
  }
  output_.read_out_list(*limit);
}

void agent_loop::AskNextEntry() {
  auto next = links_.upper_bound(entry_asked_);
  if (next == links_.end()) {
    next = links_.begin();
  }
  if (next != links_.end()) {
    entry_asked_ = next->first;
    next->second->AskForOutList();
  }
}

void agent_loop::OnOutListRead(const result<out_list>& read) {
  const steady_time began = out_list_refresh_.OnReadEnded(read.has_value());
  if (!read) {
    ++core_.counters().failed_out_list_reads;
    VLOG(1) << "config: cannot read the data centres that are out: "
            << ToString(read.error());
    return;
  }
  if (core_.OfferOutList(*read, began)) {
    for (const auto& [address, link] : links_) {
      link->OnOutListChanged();
    }
  }
}

void agent_loop::ResultReady(incarnation entry) {
  for (const auto& [address, link] : links_) {
    if (link->connected() && link->entry() == entry) {
      link->ScheduleReport();
    }
  }
}

void agent_loop::ScheduleWaitCheck() {
  if (wait_check_scheduled_ || !core_.HasWaitingStarts()) {
    return;
  }
  wait_check_scheduled_ = true;
  tasks_.add(io_.provider->getTimer()
                 .afterDelay(kWaitCheckInterval.count() * kj::MILLISECONDS)
                 .then([this] {
                   wait_check_scheduled_ = false;
                   core_.GiveBackLateStarts();
                   ScheduleWaitCheck();
                 }));
}

void agent_loop::StatusChanged() {
  ScheduleWaitCheck();
  const auto interval =
      StatusInterval(settings_.status_interval, connected_links());
  for (const auto& [address, link] : links_) {
    link->OnStatusChanged(interval);
  }
}

void agent_loop::PauseDetected() {
  for (const auto& [address, link] : links_) {
    link->Drop("the process was paused");
  }
}

void agent_loop::ScheduleLinkUpdate() {
  if (!link_update_scheduled_) {
    link_update_scheduled_ = true;
    // Deferred, because the caller may be a link that the update removes.
    tasks_.add(kj::evalLater([this] {
      link_update_scheduled_ = false;
      UpdateLinks();
    }));
  }
}

void agent_loop::OnEntriesFound(const found_entries& found) {
  if (connected_links() >= entry_search::kEnoughEntries) {
    return;
  }
  if (!found.seeds.empty()) {
    seeds_ = found.seeds;
  }
  if (!found.registered.empty()) {
    found_entries_.clear();
    for (const entry_endpoint& entry : found.registered) {
      found_entries_.emplace(entry.address, entry);
    }
  }
  ScheduleLinkUpdate();
}

std::map<std::string, entry_endpoint> agent_loop::CandidateEntries() {
  std::map<std::string, entry_endpoint> listed;
  for (const auto& [address, link] : links_) {
    for (const entry_endpoint& entry : link->listed_entries()) {
      if (link->connected()) {
        listed.emplace(entry.address, entry);
      }
    }
  }
  // While no entry is connected, those that were known last are dialled.
  if (!listed.empty()) {
    known_entries_ = listed;
  }
  if (connected_links() >= entry_search::kEnoughEntries) {
    found_entries_.clear();
  }
  if (found_entries_.empty()) {
    return known_entries_;
  }
  listed.insert(found_entries_.begin(), found_entries_.end());
  return listed;
}

std::set<std::string> agent_loop::WantedEntries() {
  const std::map<std::string, entry_endpoint> candidates = CandidateEntries();
  const bool seeds_needed =
      connected_links() < entry_search::kEnoughEntries ||
      candidates.size() + seeds_.size() <= settings_.entry_limit;
  std::vector<entry_endpoint> entries;
  entries.reserve(candidates.size());
  for (const auto& [address, entry] : candidates) {
    entries.push_back(entry);
  }
  std::set<std::string> wanted = SelectEntries(
      settings_.id, settings_.data_centre, entries, settings_.entry_limit);
  if (seeds_needed) {
    wanted.insert(seeds_.begin(), seeds_.end());
  }
  return wanted;
}

void agent_loop::UpdateLinks() {
  for (const std::string& address : std::exchange(closed_links_, {})) {
    links_.erase(address);
    closing_links_.erase(address);
  }
  const std::set<std::string> wanted = WantedEntries();
  for (const auto& [address, link] : links_) {
    link->SetRetiring(!wanted.contains(address));
  }
  std::erase_if(links_, [&wanted](const auto& address_and_link) {
    return !wanted.contains(address_and_link.first) &&
           !address_and_link.second->connected();
  });
  for (const std::string& address : wanted) {
    if (!links_.contains(address)) {
      auto& link = links_[address];
      link = std::make_unique<entry_link>(address, link_context_);
      link->Start();
    }
  }
}

void agent_loop::CloseRetiredLinks() {
  for (const auto& [address, link] : links_) {
    if (link->IsRetired() && closing_links_.insert(address).second) {
      tasks_.add(link->SendGoodbye().then([this, address = address] {
        closed_links_.insert(address);
        ScheduleLinkUpdate();
      }));
    }
  }
}

std::size_t agent_loop::connected_links() const {
  return static_cast<std::size_t>(std::count_if(
      links_.begin(), links_.end(),
      [](const auto& entry) { return entry.second->connected(); }));
}

void agent_loop::Stop() {
  if (stop_started_at_) {
    return;
  }
  LOG(INFO)
      << "agent: graceful stop started; waiting for the running tasks and "
         "for the acknowledgement of their results";
  stop_started_at_ = time_.Now();
  core_.Drain();
}

void agent_loop::FinishStop() {
  const bool late = time_.Now() - *stop_started_at_ > settings_.stop_limit;
  if (saying_goodbye_ || !(core_.IsDrained() || late)) {
    return;
  }
  if (late) {
    LOG(ERROR) << "agent: the graceful stop exceeded its time limit; "
                  "unfinished tasks are abandoned";
  }
  saying_goodbye_ = true;
  kj::Vector<kj::Promise<void>> goodbyes;
  for (const auto& [address, link] : links_) {
    goodbyes.add(link->SendGoodbye());
  }
  tasks_.add(
      kj::joinPromises(goodbyes.releaseAsArray())
          .exclusiveJoin(io_.provider->getTimer().afterDelay(kGoodbyeLimit))
          .then([this] { StopNow(); }));
}

void agent_loop::StopNow() {
  end_fulfiller_->fulfill();
}

void agent_loop::taskFailed(kj::Exception&& failure) {
  LOG(ERROR) << "agent: internal failure: " << failure.getDescription().cStr();
}

}  // namespace jayrill::agent::internal
