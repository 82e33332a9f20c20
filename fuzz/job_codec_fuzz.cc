#include "jayrill/job/job_codec.h"

#include "fuzz_target.h"
#include "jayrill/base/name.h"

using jayrill::fuzz::Require;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = jayrill::fuzz::ToText(data, size);
  const auto job = jayrill::DecodeJob(text);
  if (!job) {
    Require(!job.error().message.empty() && !job.error().remedy.empty(),
            "an error has a message and a remedy");
    return 0;
  }
  Require(jayrill::IsValidName(job->service) && jayrill::IsValidName(job->team),
          "names are valid");
  Require(job->deadline.count() >= 0 && job->deadline <= jayrill::kMaxDeadline,
          "the deadline is in its range");
  Require(!job->tasks.empty() && job->tasks.size() <= 1900,
          "the number of tasks is in its range");
  jayrill::job_answer answer;
  for (const jayrill::task_spec& task : job->tasks) {
    answer.results.push_back(task.payload);
  }
  Require(jayrill::CheckResults(answer).has_value(), "payloads are JSON");
  jayrill::EncodeOutcome("1-1", answer);
  return 0;
}
