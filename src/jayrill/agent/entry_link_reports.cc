#include <algorithm>
#include <utility>

#include "jayrill/agent/entry_link.h"
#include "jayrill/agent/internal/entry_connection.h"
#include "jayrill/agent/internal/link_codec.h"
#include "jayrill/rpc/codec.h"

namespace jayrill {

using agent::internal::EncodeConfigCopy;
using agent::internal::ToKj;

namespace {

// Limits on unacknowledged reports and on the results in one report. With a
// slow entry the results then stay in the session, from which they can be sent
// again, and do not fill the send buffer.
constexpr std::uint32_t kMaxReportsInFlight = 16;
constexpr std::size_t kMaxReportBytes = 1U << 20U;

}  // namespace

void entry_link::ScheduleReport() {
  if (!handshake_done_ || dropping_ || report_scheduled_) {
    return;
  }
  report_scheduled_ = true;
  tasks_->add(kj::evalLast([this] {
    report_scheduled_ = false;
    SendReport();
  }));
}

void entry_link::AskForOutList() {
  if (report_scheduled_) {
    return;  // Its answer confirms them as well.
  }
  ScheduleReport();
  report_is_question_ = report_scheduled_;
}

void entry_link::OnStatusChanged(std::chrono::milliseconds interval) {
  schedule_.SetStatusInterval(interval);
  // A timer that is set reads the current status when it fires.
  if (!status_timer_set_) {
    ReportStatusWhenDue();
  }
}

void entry_link::ReportStatusWhenDue() {
  if (!handshake_done_ || dropping_ || report_scheduled_) {
    return;
  }
  const auto due = schedule_.StatusDue(context_.core.StatusFor(entry_));
  if (!due) {
    return;
  }
  const steady_time now = context_.time.Now();
  if (*due <= now) {
    ScheduleReport();
  } else {
    status_timer_set_ = true;
    tasks_->add(
        context_.io.getTimer().afterDelay(ToKj(*due - now)).then([this] {
          status_timer_set_ = false;
          ReportStatusWhenDue();
        }));
  }
}

bool entry_link::ShouldSendConfig(bool heartbeat) const {
  return entry_revision_ < context_.core.config().revision &&
         (config_due_ || heartbeat);
}

bool entry_link::ShouldSendOutList() const {
  const out_list& known = context_.core.data_centres_out().list();
  return known.revision > entry_out_list_.revision &&
         known.data_centres != entry_out_list_.data_centres;
}

void entry_link::SendReport() {
  const bool is_question = std::exchange(report_is_question_, false);
  if (!handshake_done_ || dropping_ ||
      reports_in_flight_ >= kMaxReportsInFlight) {
    return;  // The next acknowledgement or connection sends the results.
  }
  const steady_time now = context_.time.Now();
  entry_session& session = context_.core.Session(entry_);
  const auto results = session.TakeUnsent(kMaxReportBytes);
  auto request = connection_->session.reportRequest();
  auto report = request.initReport();
  auto wire_results = report.initResults(results.size());
  std::vector<start_number> numbers;
  numbers.reserve(results.size());
  for (const task_result* result : results) {
    Encode(*result, wire_results[numbers.size()]);
    numbers.push_back(result->number);
  }
  const minion_status status = context_.core.StatusFor(entry_);
  Encode(status, report.initStatus());
  report.setSentMicros(EncodeClock(now));
  if (ShouldSendConfig(schedule_.IsHeartbeatDue(now))) {
    EncodeConfigCopy(context_.core.config(), report.initConfig());
    entry_revision_ = context_.core.config().revision;
    config_due_ = false;
  }
  if (ShouldSendOutList()) {
    entry_out_list_ = context_.core.data_centres_out().list();
    Encode({entry_out_list_, std::nullopt}, report.initOutList());
  }
  if (is_question) {
    schedule_.OnQuestion(status);
  } else {
    schedule_.OnReport(now, status);
  }
  ++reports_in_flight_;
  ++context_.core.counters().reports;
  connection_->tasks.add(request.send().then(
      [this, serial = serial_, numbers = std::move(numbers), sent = now,
       told_retirement = retiring_](
          capnp::Response<wire::EntrySession::ReportResults>&& response) {
        OnAcknowledged(serial, numbers, sent, told_retirement,
                       std::chrono::milliseconds(response.getCallersLagMs()),
                       std::chrono::milliseconds(response.getHeartbeatMs()),
                       std::chrono::milliseconds(response.getStatusMs()),
                       Decode(response.getOutList()));
        if (IsCurrent(serial)) {
          held_responses_.add(kj::mv(response));
        }
      }));
  ReleaseHeldMessages();
  if (session.has_unsent()) {
    ScheduleReport();
  }
}

void entry_link::OnAcknowledged(std::uint64_t serial,
                                const std::vector<start_number>& numbers,
                                steady_time sent,
                                bool told_retirement,
                                std::chrono::milliseconds callers_lag,
                                std::chrono::milliseconds heartbeat,
                                std::chrono::milliseconds status_interval,
                                const aged_out_list& list) {
  if (!OnMessage(serial)) {
    return;
  }
  context_.core.OnReportAnswered(entry_, sent, callers_lag);
  OnOutList(list, sent);
  schedule_.SetWantedStatusInterval(status_interval);
  schedule_.SetHeartbeat(heartbeat);
  context_.core.SetHeartbeat(schedule_.heartbeat());
  --reports_in_flight_;
  retirement_acknowledged_ |= told_retirement && retiring_;
  entry_session& session = context_.core.Session(entry_);
  session.Acknowledge(numbers);
  if (session.has_unsent()) {
    ScheduleReport();
  }
}

}  // namespace jayrill
