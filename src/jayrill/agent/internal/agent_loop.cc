#include "jayrill/agent/internal/agent_loop.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>

namespace jayrill::agent::internal {

namespace {

// Bound on the wait for the answers to goodbye.
constexpr auto kGoodbyeLimit = 1 * kj::SECONDS;

constexpr auto kTick = kPauseTick.count() * kj::MILLISECONDS;

}  // namespace

agent_loop::agent_loop(const agent_settings& settings,
                       const clock& time,
                       work_queue& inbox,
                       call_sink calls,
                       stop_sink stops,
                       view_sink views)
    : settings_(settings),
      time_(time),
      inbox_(inbox),
      calls_(std::move(calls)),
      stops_(std::move(stops)),
      views_(std::move(views)),
      random_(random_source::FromSystem()),
      io_(kj::setupAsyncIo()),
      observer_(io_.unixEventPort,
                inbox.event_fd(),
                kj::UnixEventPort::FdObserver::OBSERVE_READ),
      core_(settings, time, *this),
      shared_{settings, time,  incarnation{random_()},    *io_.provider,
              random_,  core_, [this] { ScheduleDial(); }},
      tasks_(*this) {
  auto paf = kj::newPromiseAndFulfiller<void>();
  ended_ = kj::mv(paf.promise);
  end_ = kj::mv(paf.fulfiller);
}

agent_loop::~agent_loop() noexcept = default;

void agent_loop::Run() {
  tasks_.add(ServeInbox());
  tasks_.add(ServeTicks());
  DialEntries();
  ended_.wait(io_.waitScope);
  links_.clear();
}

kj::Promise<void> agent_loop::ServeInbox() {
  return observer_.whenBecomesReadable().then([this] {
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
    views_({core_.counters(), core_.Status(), connected_links()});
    if (stop_began_) {
      FinishStop();
    }
    tasks_.add(ServeTicks());
  });
}

void agent_loop::ResultReady(incarnation entry) {
  for (const auto& [address, link] : links_) {
    if (link->connected() && link->entry() == entry) {
      link->ScheduleReport();
    }
  }
}

void agent_loop::StatusChanged() {
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

void agent_loop::ScheduleDial() {
  if (!dial_scheduled_) {
    dial_scheduled_ = true;
    // Not at once: the caller may be a link that is to be removed.
    tasks_.add(kj::evalLater([this] {
      dial_scheduled_ = false;
      DialEntries();
    }));
  }
}

void agent_loop::DialEntries() {
  std::set<std::string> wanted(settings_.entries.begin(),
                               settings_.entries.end());
  for (const auto& [address, link] : links_) {
    if (link->connected()) {
      wanted.insert(address);
      wanted.insert(link->listed().begin(), link->listed().end());
    }
  }
  std::erase_if(links_, [&wanted](const auto& address_and_link) {
    return !wanted.contains(address_and_link.first);
  });
  for (const std::string& address : wanted) {
    if (!links_.contains(address)) {
      auto& link = links_[address];
      link = std::make_unique<entry_link>(address, shared_);
      link->Start();
    }
  }
}

std::size_t agent_loop::connected_links() const {
  return static_cast<std::size_t>(std::count_if(
      links_.begin(), links_.end(),
      [](const auto& entry) { return entry.second->connected(); }));
}

void agent_loop::Stop() {
  if (stop_began_) {
    return;
  }
  LOG(INFO) << "agent: stopping; running tasks are finished";
  stop_began_ = time_.Now();
  core_.Drain();
}

void agent_loop::FinishStop() {
  const bool late = time_.Now() - *stop_began_ > settings_.stop_limit;
  if (saying_goodbye_ || !(core_.IsDrained() || late)) {
    return;
  }
  if (late) {
    LOG(ERROR) << "agent: the stop took longer than its limit; tasks are left";
  }
  saying_goodbye_ = true;
  kj::Vector<kj::Promise<void>> goodbyes;
  for (const auto& [address, link] : links_) {
    goodbyes.add(link->Goodbye());
  }
  tasks_.add(
      kj::joinPromises(goodbyes.releaseAsArray())
          .exclusiveJoin(io_.provider->getTimer().afterDelay(kGoodbyeLimit))
          .then([this] { Abandon(); }));
}

void agent_loop::Abandon() {
  end_->fulfill();
}

void agent_loop::taskFailed(kj::Exception&& failure) {
  LOG(ERROR) << "agent: internal failure: " << failure.getDescription().cStr();
}

}  // namespace jayrill::agent::internal
