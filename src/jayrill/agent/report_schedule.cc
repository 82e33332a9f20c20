#include "jayrill/agent/report_schedule.h"

#include <algorithm>

namespace jayrill {

namespace {

// Heartbeat intervals without a message after which a connection counts as
// dead.
constexpr int kMaxMissedHeartbeats = 3;

// Bounds of the intervals that an entry may ask for.
constexpr std::chrono::milliseconds kShortestHeartbeat{100};
constexpr std::chrono::milliseconds kLongestHeartbeat{60'000};
constexpr std::chrono::milliseconds kDefaultHeartbeat{1000};
constexpr std::chrono::milliseconds kLongestStatusInterval{1000};

// The estimate changes with every start; a report for it alone would be sent
// for each of them.
minion_status WithoutEstimate(minion_status status) {
  status.time_until_free = {};
  return status;
}

}  // namespace

void report_schedule::Open(steady_time now,
                           std::chrono::milliseconds heartbeat,
                           const minion_status& sent) {
  heartbeat_ = kDefaultHeartbeat;
  wanted_status_interval_ = {};
  SetHeartbeat(heartbeat);
  last_message_at_ = now;
  last_report_at_ = now;
  last_sent_status_ = WithoutEstimate(sent);
}

void report_schedule::SetHeartbeat(std::chrono::milliseconds heartbeat) {
  if (heartbeat.count() != 0) {
    heartbeat_ = std::clamp(heartbeat, kShortestHeartbeat, kLongestHeartbeat);
  }
}

void report_schedule::SetWantedStatusInterval(
    std::chrono::milliseconds interval) {
  wanted_status_interval_ = std::min(interval, kLongestStatusInterval);
}

void report_schedule::OnReport(steady_time now, const minion_status& sent) {
  last_report_at_ = now;
  last_sent_status_ = WithoutEstimate(sent);
}

void report_schedule::OnQuestion(const minion_status& sent) {
  last_sent_status_ = WithoutEstimate(sent);
}

std::optional<steady_time> report_schedule::StatusDue(
    const minion_status& current) const {
  if (WithoutEstimate(current) == last_sent_status_) {
    return std::nullopt;
  }
  return last_report_at_ + std::max(status_interval_, wanted_status_interval_);
}

bool report_schedule::IsHeartbeatDue(steady_time now) const {
  return now - last_report_at_ >= heartbeat_;
}

bool report_schedule::IsSilent(steady_time now) const {
  return now - last_message_at_ > kMaxMissedHeartbeats * heartbeat_;
}

}  // namespace jayrill
