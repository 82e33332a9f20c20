#include "jayrill/session/start_window.h"

#include <algorithm>

namespace jayrill {

start_number start_window::Add(task_ref task) {
  ++last_number_.value;
  tasks_.emplace(last_number_, task);
  return last_number_;
}

void start_window::ContinueAfter(start_number number) {
  last_number_ = std::max(last_number_, number);
}

std::optional<start_window::task_ref> start_window::Take(start_number number) {
  const auto found = tasks_.find(number);
  if (found == tasks_.end()) {
    return std::nullopt;
  }
  const task_ref task = found->second;
  tasks_.erase(found);
  return task;
}

std::optional<std::vector<start_window::task_ref>> start_window::Resume(
    connection_epoch epoch,
    start_number last_accepted) {
  if (epoch <= epoch_) {
    return std::nullopt;
  }
  epoch_ = epoch;
  std::vector<task_ref> fenced;
  const auto first_fenced = tasks_.upper_bound(last_accepted);
  for (auto it = first_fenced; it != tasks_.end(); ++it) {
    fenced.push_back(it->second);
  }
  tasks_.erase(first_fenced, tasks_.end());
  return fenced;
}

std::vector<start_window::task_ref> start_window::Close() {
  std::vector<task_ref> tasks;
  tasks.reserve(tasks_.size());
  for (const auto& [number, task] : tasks_) {
    tasks.push_back(task);
  }
  tasks_.clear();
  return tasks;
}

}  // namespace jayrill
