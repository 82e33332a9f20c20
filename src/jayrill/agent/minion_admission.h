#ifndef JAYRILL_AGENT_MINION_ADMISSION_H_
#define JAYRILL_AGENT_MINION_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/agent/announcement.h"
#include "jayrill/agent/run_control.h"

namespace jayrill {

/// Decides which announcements count.
///
/// An announcement may be late, and any process may send one. So one that names
/// another minion than the present one counts only after the address that it
/// names has answered as that minion. Later announcements of the present minion
/// count at once, unless a newer one has overtaken them.
///
/// Not thread-safe.
class minion_admission {
 public:
  /// Called with the answer of the address that an announcement names.
  using answer_function = std::function<void(identity_answer)>;

  struct host {
    /// Asks the address of the minion whether it is that minion. The function
    /// that it receives is called once, now or later.
    std::function<void(const announcement& minion, const answer_function& done)>
        identify;
    std::function<void(announcement minion)> on_accepted;
    /// The announcement does not count; the text says why.
    std::function<void(const announcement& minion, const std::string& reason)>
        on_rejected;
  };

  explicit minion_admission(host callbacks) : host_(std::move(callbacks)) {}

  /// Accepts \p minion now, once it is identified, or never.
  void Offer(announcement minion);

  /// \returns true when \p instance is the present minion, or is empty and so
  /// stands for whichever is present. A notice of leaving from any other one is
  /// late or not from a minion of this agent.
  bool IsPresent(const std::string& instance) const;

 private:
  /// A minion that is being identified.
  struct candidate {
    std::uint64_t number = 0;  ///< Tells candidates apart.
    announcement newest;
  };

  void Identify(announcement minion);
  void OnAnswer(std::uint64_t number, identity_answer answer);
  void Accept(announcement minion);
  /// \returns true when \p minion is of an earlier life than the present one,
  /// or was overtaken by an announcement of its own life.
  bool IsOvertaken(const announcement& minion) const;

  host host_;
  std::optional<announcement> present_;  ///< Last accepted announcement.
  std::vector<candidate> candidates_;
  std::uint64_t last_number_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_MINION_ADMISSION_H_
