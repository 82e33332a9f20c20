#ifndef JAYRILL_SESSION_START_WINDOW_H_
#define JAYRILL_SESSION_START_WINDOW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jayrill/base/ids.h"

namespace jayrill {

/// The entry's side of a session: numbers starts and keeps track of the
/// outstanding ones.
///
/// A start leaves the window exactly once: by a result, by a fence (it did not
/// run), or by the loss of the session (it may have run).
/// \sa start_gate
class start_window {
 public:
  /// The task of an outstanding start.
  struct task_ref {
    job_id job;
    std::uint32_t task_index = 0;

    auto operator<=>(const task_ref&) const = default;
  };

  /// Assigns the next number to \p task.
  start_number Add(task_ref task);

  /// Makes Add assign only numbers above \p number. Used when the agent has
  /// accepted starts of a session that this entry no longer knows.
  void ContinueAfter(start_number number);

  /// Removes the start \p number from the window.
  /// \returns its task, or nothing when the number is not outstanding: the
  /// result is late, a duplicate, or of a start that this session never sent.
  std::optional<task_ref> Take(start_number number);

  /// Resumes the session on the connection \p epoch. Starts above
  /// \p last_accepted are fenced by the agent: they did not run and cannot.
  /// \returns the fenced tasks, or nothing when \p epoch is not above the epoch
  /// of the session; the connection must then be refused.
  std::optional<std::vector<task_ref>> Resume(connection_epoch epoch,
                                              start_number last_accepted);

  /// Ends the session and empties the window.
  /// \returns the outstanding tasks, which may have run.
  std::vector<task_ref> Close();

  std::size_t outstanding() const { return tasks_.size(); }

  /// \returns the outstanding starts by number.
  const std::map<start_number, task_ref>& tasks() const { return tasks_; }

  connection_epoch epoch() const { return epoch_; }

 private:
  connection_epoch epoch_;
  start_number last_number_;
  std::map<start_number, task_ref> tasks_;
};

}  // namespace jayrill

#endif  // JAYRILL_SESSION_START_WINDOW_H_
