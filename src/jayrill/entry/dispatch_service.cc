#include "jayrill/entry/dispatch_service.h"

#include <glog/logging.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <poll.h>

#include <chrono>
#include <optional>
#include <utility>

#include "jayrill/base/random_source.h"
#include "jayrill/entry/agent_server.h"
#include "jayrill/session/pause_detector.h"

namespace jayrill {

namespace {

job_outcome MakeStoppedFailure(job_effect effect) {
  return MakeJobFailure(effect, "entry_stopped", "this entry has stopped",
                        effect == job_effect::kNotRun
                            ? "submit again to another entry"
                            : "check whether the job took effect before "
                              "submitting again");
}

job_outcome MakeHeldBackFailure(const char* code, const char* message) {
  return MakeJobFailure(job_effect::kNotRun, code, message, "submit again");
}

/// \returns the refusal of the job \p spec, which has waited for the dispatcher
/// for \p waited, or nothing when its caller still waits for it.
std::optional<job_outcome> RefuseHeldBack(const job_spec& spec,
                                          steady_duration waited) {
  if (spec.repeatable && waited > kPauseLimit) {
    // Like the jobs that the dispatcher had before a pause.
    return MakeHeldBackFailure("entry_paused",
                               "the process of this entry was paused");
  }
  if (waited >= spec.deadline) {
    return MakeHeldBackFailure("deadline_exceeded",
                               "the deadline of the job has passed");
  }
  return std::nullopt;
}

}  // namespace

dispatch_service::dispatch_service(dispatch_settings settings,
                                   const clock& time)
    : settings_(std::move(settings)), time_(time) {}

dispatch_service::~dispatch_service() {
  Stop();
}

result<std::uint16_t> dispatch_service::Start() {
  auto strategy = MakePlacementStrategy(settings_.strategy,
                                        random_source(settings_.random_seed));
  if (!strategy) {
    return tl::unexpected<error>(strategy.error());
  }
  start_promise started;
  auto port = started.get_future();
  thread_ = std::thread(
      [this, &started, &strategy]() { Run(std::move(*strategy), started); });
  return port.get();
}

void dispatch_service::Stop() {
  stopping_ = true;
  queue_.Post([]() {});
  if (thread_.joinable()) {
    thread_.join();
  }
  // Calls that were posted after the thread drained the queue are answered
  // here.
  queue_.Drain();
}

void dispatch_service::Run(std::unique_ptr<placement_strategy> strategy,
                           start_promise& started) {
  bool has_started = false;
  try {
    Serve(std::move(strategy), started, has_started);
  } catch (const kj::Exception& exception) {
    const std::string what = exception.getDescription().cStr();
    LOG(ERROR) << "rpc: the dispatcher has stopped: " << what;
    if (!has_started) {
      started.set_value(MakeError(
          error_kind::kUnavailable,
          "agents cannot be served on " + settings_.listen + ": " + what,
          "set another address or port for agents"));
    }
  }
  server_ = nullptr;
  view_.Publish({});
  FailUndecided();
  if (has_started) {
    RefuseUntilStopped();
  }
}

void dispatch_service::RefuseUntilStopped() {
  // After an exception in the event loop the entry is not ready any more, but
  // every caller still gets an answer.
  while (!stopping_) {
    pollfd event{queue_.event_fd(), POLLIN, 0};
    poll(&event, 1, -1);
    queue_.Drain();
  }
}

void dispatch_service::PublishView(const agent_server& server) {
  dispatch_view next{server.core().config(), server.core().IsReady(),
                     server.core().IsIsolated(),
                     server.core().RetransmissionsUntil()};
  if (next != published_) {
    published_ = next;
    view_.Publish(std::move(next));
  }
}

void dispatch_service::Serve(std::unique_ptr<placement_strategy> strategy,
                             start_promise& started,
                             bool& has_started) {
  auto io = kj::setupAsyncIo();
  agent_server server(settings_, std::move(strategy), time_,
                      io.provider->getTimer(), callers_,
                      {[this](job_id id, job_outcome outcome) {
                         OnJobDecided(id, std::move(outcome));
                       },
                       [this](shared_config config) {
                         if (newer_config_) {
                           newer_config_(std::move(config));
                         }
                       },
                       [this] {
                         if (server_ != nullptr) {
                           queue_.RunPosted();
                         }
                       },
                       [this] {
                         if (server_ != nullptr) {
                           PublishView(*server_);
                         }
                       }});
  auto receiver = io.provider->getNetwork()
                      .parseAddress(settings_.listen.c_str())
                      .wait(io.waitScope)
                      ->listen();
  const auto port = static_cast<std::uint16_t>(receiver->getPort());
  server.Serve(kj::mv(receiver));
  server_ = &server;
  has_started = true;
  started.set_value(port);
  kj::UnixEventPort::FdObserver observer(
      io.unixEventPort, queue_.event_fd(),
      kj::UnixEventPort::FdObserver::OBSERVE_READ);
  while (true) {
    // Observing starts before the queue is drained, so that nothing that is
    // posted in between is missed.
    auto readable = observer.whenBecomesReadable();
    queue_.Drain();
    // Checked after the queue is drained: draining also consumes the event
    // with which Stop wakes this thread, and no other event follows it.
    if (stopping_) {
      break;
    }
    server.ScheduleFlush();
    readable.wait(io.waitScope);
  }
  queue_.Drain();
}

void dispatch_service::FailUndecided() {
  for (auto& [id, done] : std::exchange(callbacks_, {})) {
    done(MakeStoppedFailure(job_effect::kMayHaveRun));
  }
}

void dispatch_service::OnJobDecided(job_id id, job_outcome outcome) {
  const auto found = callbacks_.find(id);
  if (found != callbacks_.end()) {
    const outcome_callback done = std::move(found->second);
    callbacks_.erase(found);
    done(std::move(outcome));
  }
}

void dispatch_service::Submit(job_id id, job_spec spec, outcome_callback done) {
  queue_.Post([this, id, spec = std::move(spec), done = std::move(done),
               posted = time_.Now()]() mutable {
    SubmitPosted(id, std::move(spec), done, time_.Now() - posted);
  });
}

void dispatch_service::SubmitPosted(job_id id,
                                    job_spec spec,
                                    const outcome_callback& done,
                                    steady_duration waited) {
  if (server_ == nullptr) {
    done(MakeStoppedFailure(job_effect::kNotRun));
    return;
  }
  if (const auto refused = RefuseHeldBack(spec, waited)) {
    done(*refused);
    return;
  }
  if (!callbacks_.emplace(id, done).second) {
    done(MakeJobFailure(job_effect::kNotRun, "duplicate_job",
                        "the job id is in use", "use a new job id"));
    return;
  }
  spec.deadline -= std::chrono::floor<std::chrono::milliseconds>(waited);
  server_->core().Submit(id, std::move(spec));
}

void dispatch_service::Cancel(job_id id) {
  queue_.Post([this, id]() {
    if (server_ != nullptr) {
      server_->core().Cancel(id);
    }
  });
}

void dispatch_service::OfferConfig(shared_config config) {
  queue_.Post([this, config = std::move(config)]() {
    if (server_ != nullptr) {
      server_->core().OfferConfig(config);
    }
  });
}

void dispatch_service::ConfirmConfig() {
  queue_.Post([this]() {
    if (server_ != nullptr) {
      server_->core().ConfirmConfig();
    }
  });
}

void dispatch_service::SetEntries(std::vector<entry_endpoint> entries) {
  queue_.Post([this, entries = std::move(entries)]() {
    if (server_ != nullptr) {
      server_->SetEntries(entries);
    }
  });
}

void dispatch_service::OfferOutList(out_list list, steady_time confirmed) {
  queue_.Post([this, list = std::move(list), confirmed] {
    if (server_ != nullptr) {
      server_->core().OfferOutList(list, confirmed);
    }
  });
}

void dispatch_service::SetTeamShares(std::map<std::string, double> shares) {
  queue_.Post([this, shares = std::move(shares)]() {
    if (server_ != nullptr) {
      server_->core().SetTeamShares(shares);
    }
  });
}

void dispatch_service::OnNewerConfig(
    std::function<void(shared_config)> listener) {
  queue_.Post(
      [this, listener = std::move(listener)]() { newer_config_ = listener; });
}

void dispatch_service::GetStatus(std::function<void(dispatch_status)> done) {
  queue_.Post([this, done = std::move(done)]() {
    done(server_ == nullptr ? dispatch_status{} : server_->core().Status());
  });
}

void dispatch_service::Drain(std::function<void()> drained) {
  queue_.Post([this, drained = std::move(drained)]() {
    if (server_ == nullptr) {
      drained();
    } else {
      server_->core().Drain(drained);
    }
  });
}

}  // namespace jayrill
