#include "jayrill/agent/report_schedule.h"

#include <algorithm>

namespace jayrill {

namespace {

// Silence of this many heartbeat intervals means that a connection is dead.
constexpr int kSilentIntervals = 3;

// Bounds on the interval that an entry may ask for.
constexpr std::chrono::milliseconds kShortestHeartbeat{100};
constexpr std::chrono::milliseconds kLongestHeartbeat{60'000};
constexpr std::chrono::milliseconds kDefaultHeartbeat{1000};
constexpr std::chrono::milliseconds kLongestStatusInterval{1000};

// The estimate changes with every start and is no reason for a report.
minion_status WithoutEstimate(minion_status status) {
  status.expected_free = {};
  return status;
}

}  // namespace

void report_schedule::Open(steady_time now,
                           std::chrono::milliseconds heartbeat,
                           const minion_status& sent) {
  heartbeat_ = kDefaultHeartbeat;
  wanted_status_interval_ = {};
  SetHeartbeat(heartbeat);
  heard_ = now;
  reported_ = now;
  sent_ = WithoutEstimate(sent);
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
  reported_ = now;
  sent_ = WithoutEstimate(sent);
}

std::optional<steady_time> report_schedule::StatusDue(
    const minion_status& current) const {
  if (WithoutEstimate(current) == sent_) {
    return std::nullopt;
  }
  return reported_ + std::max(status_interval_, wanted_status_interval_);
}

bool report_schedule::IsHeartbeatDue(steady_time now) const {
  return now - reported_ >= heartbeat_;
}

bool report_schedule::IsSilent(steady_time now) const {
  return now - heard_ > kSilentIntervals * heartbeat_;
}

}  // namespace jayrill
