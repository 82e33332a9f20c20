#include "jayrill/agent/agent_process.h"

#include <glog/logging.h>

#include <utility>

#include "jayrill/agent/internal/agent_loop.h"
#include "jayrill/agent/internal/counters_text.h"

namespace jayrill {

agent_process::agent_process(agent_settings settings,
                             const clock& time,
                             const agent_overrides& overrides)
    : settings_(std::move(settings)),
      time_(time),
      departure_(settings_.announce_ttl),
      out_lists_(overrides.out_lists),
      metrics_text_([this] {
        return agent::internal::ToText(view(), minion_port_->lost_calls());
      }),
      admission_(AdmissionHost()),
      minion_port_(overrides.minion
                       ? overrides.minion(MinionListener())
                       : std::make_unique<minion_client>(settings_,
                                                         time,
                                                         MinionListener())),
      api_(settings_.announce_ttl,
           AnnounceListener(),
           overrides.announce_routes) {
  if (overrides.directory != nullptr) {
    entry_search_.emplace(
        *overrides.directory, *overrides.timers, random_source::FromSystem(),
        [this](const found_entries& found) {
          PostToLoop([found](agent_loop& loop) { loop.OnEntriesFound(found); });
        });
  }
}

agent_process::~agent_process() {
  PostToLoop([](agent_loop& loop) { loop.StopNow(); });
  if (thread_.joinable()) {
    thread_.join();
  }
}

result<void> agent_process::Start() {
  if (auto listening = api_.Listen(settings_.http_address); !listening) {
    return listening;
  }
  LOG(INFO) << "agent: started id=" << settings_.id
            << " data_centre=" << settings_.data_centre
            << " http_port=" << api_.port();
  if (entry_search_) {
    entry_search_->SetConnectedEntries(0);
  }
  thread_ = std::thread([this] { RunLoop(); });
  return {};
}

void agent_process::Stop() {
  PostToLoop([](agent_loop& loop) { loop.Stop(); });
}

void agent_process::RunLoop() {
  agent_loop::output sinks;
  sinks.on_call = [this](task_call call) {
    PostToQt([this, call = std::move(call)] { minion_port_->Run(call); });
  };
  sinks.on_stop_call = [this](std::uint64_t call) {
    PostToQt([this, call] { minion_port_->Stop(call); });
  };
  sinks.on_view = [this](const agent_view& current) { OnView(current); };
  if (out_lists_ != nullptr) {
    sinks.read_out_list = [this](std::chrono::milliseconds limit) {
      ReadOutList(limit);
    };
  }
  agent_loop loop(settings_, time_, inbox_, std::move(sinks));
  loop_ = &loop;
  loop.Run();
  loop_ = nullptr;
  PostToQt([this] {
    LOG(INFO) << "agent: stopped";
    if (on_stopped_) {
      on_stopped_();
    }
  });
}

void agent_process::OnView(const agent_view& current) {
  const std::lock_guard<std::mutex> lock(view_mutex_);
  if (entry_search_ && (current.connected_entries != view_.connected_entries)) {
    PostToQt([this, count = current.connected_entries] {
      entry_search_->SetConnectedEntries(count);
    });
  }
  view_ = current;
}

void agent_process::ReadOutList(std::chrono::milliseconds limit) {
  PostToQt([this, limit] {
    out_lists_->Read(limit, guard_.Wrap([this](const result<out_list>& read) {
      PostToLoop([read](agent_loop& loop) { loop.OnOutListRead(read); });
    }));
  });
}

void agent_process::PostToLoop(std::function<void(agent_loop&)> work) {
  inbox_.Post([this, work = std::move(work)] { work(*loop_); });
}

void agent_process::PostToQt(std::function<void()> work) {
  QMetaObject::invokeMethod(&qt_context_, std::move(work),
                            Qt::QueuedConnection);
}

minion_port::listener agent_process::MinionListener() {
  return {
      [this](std::uint64_t call, task_result outcome) {
        PostToLoop([call, outcome = std::move(outcome)](agent_loop& loop) {
          loop.core().OnResult(call, outcome);
        });
      },
      [this](std::uint64_t call) {
        PostToLoop([call](agent_loop& loop) { loop.core().OnSlotFree(call); });
      },
      [this](std::uint64_t call) {
        PostToLoop([call](agent_loop& loop) { loop.core().OnOrderLost(call); });
      }};
}

announce_api::listener agent_process::AnnounceListener() {
  return {[this](announcement minion) { admission_.Offer(std::move(minion)); },
          [this](const std::string& instance) { return OnLeave(instance); },
          [this](const error& reason) {
            OnIgnored("instance= " + ToString(reason));
          },
          [this] { return metrics_text_(); }};
}

minion_admission::host agent_process::AdmissionHost() {
  return {[this](const announcement& minion,
                 const minion_admission::answer_function& done) {
            minion_port_->Identify(minion, done);
          },
          [this](announcement minion) { OnAccepted(std::move(minion)); },
          [this](const announcement& minion, const std::string& reason) {
            OnIgnored("instance=" + minion.instance +
                      " service=" + minion.service + " address=" + minion.host +
                      ":" + std::to_string(minion.port) + " " + reason);
          }};
}

void agent_process::OnAccepted(announcement minion) {
  if (!departure_.Accept(minion, time_.Now())) {
    return;
  }
  minion_port_->SetMinionLeft(false);
  minion_port_->OnAnnounced(minion);
  PostToLoop([minion = std::move(minion)](agent_loop& loop) {
    loop.core().Announce(minion);
  });
}

std::uint32_t agent_process::OnLeave(const std::string& instance) {
  if (!admission_.IsPresent(instance)) {
    OnIgnored("instance=" + instance + " leaves, but is not the present one");
    return minion_port_->running();
  }
  departure_.OnLeave(time_.Now());
  minion_port_->SetMinionLeft(true);
  PostToLoop([](agent_loop& loop) { loop.core().Leave(); });
  return minion_port_->running();
}

void agent_process::OnIgnored(const std::string& detail) {
  ++ignored_announcements_;
  if (ignored_log_limit_.Allows(time_.Now())) {
    LOG(WARNING) << "agent: ignored an announcement " << detail
                 << ignored_log_limit_.TakeLinesLeftOutField();
  }
}

agent_view agent_process::view() const {
  const std::lock_guard<std::mutex> lock(view_mutex_);
  agent_view current = view_;
  current.ignored_announcements = ignored_announcements_;
  return current;
}

}  // namespace jayrill
