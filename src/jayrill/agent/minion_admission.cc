#include "jayrill/agent/minion_admission.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jayrill {

namespace {

/// Candidates that are identified at a time, so that a flood of announcements
/// does not become a flood of calls.
constexpr std::size_t kMaxCandidates = 8;

/// \returns what tells one life of a minion from any other.
auto Identity(const announcement& minion) {
  return std::tie(minion.instance, minion.life, minion.host, minion.port);
}

/// \returns the position of \p minion in the order in which announcements are
/// sent.
auto Position(const announcement& minion) {
  return std::tie(minion.life, minion.sequence);
}

}  // namespace

void minion_admission::Offer(announcement minion) {
  // Nothing tells a minion without a name from its predecessor, so there is
  // nothing to ask for.
  const bool needs_no_answer =
      minion.instance.empty() ||
      (present_ && Identity(minion) == Identity(*present_));
  if (!minion.instance.empty() && IsOvertaken(minion)) {
    host_.on_rejected(minion, "a newer one has overtaken it");
  } else if (needs_no_answer) {
    Accept(std::move(minion));
  } else {
    Identify(std::move(minion));
  }
}

bool minion_admission::IsPresent(const std::string& instance) const {
  return instance.empty() || (present_ && present_->instance == instance);
}

void minion_admission::Identify(announcement minion) {
  const auto known = std::find_if(
      candidates_.begin(), candidates_.end(), [&minion](const candidate& item) {
        return Identity(item.newest) == Identity(minion);
      });
  if (known != candidates_.end()) {
    if (Position(known->newest) < Position(minion)) {
      known->newest = std::move(minion);
    }
    return;
  }
  if (candidates_.size() == kMaxCandidates) {
    host_.on_rejected(minion, "too many others are being identified");
    return;
  }
  const std::uint64_t number = ++last_number_;
  candidates_.push_back({number, minion});
  host_.identify(minion, [this, number](identity_answer answer) {
    OnAnswer(number, answer);
  });
}

void minion_admission::OnAnswer(std::uint64_t number, identity_answer answer) {
  const auto found = std::find_if(
      candidates_.begin(), candidates_.end(),
      [number](const candidate& item) { return item.number == number; });
  announcement minion = std::move(found->newest);
  candidates_.erase(found);
  if (answer != identity_answer::kSame) {
    host_.on_rejected(minion, answer == identity_answer::kOther
                                  ? "its address answers as another minion"
                                  : "its address does not answer");
  } else if (IsOvertaken(minion)) {
    host_.on_rejected(minion, "a newer one has overtaken it");
  } else {
    Accept(std::move(minion));
  }
}

void minion_admission::Accept(announcement minion) {
  present_ = minion;
  host_.on_accepted(std::move(minion));
}

bool minion_admission::IsOvertaken(const announcement& minion) const {
  return present_ && Position(minion) < Position(*present_);
}

}  // namespace jayrill
