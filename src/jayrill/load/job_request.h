#ifndef JAYRILL_LOAD_JOB_REQUEST_H_
#define JAYRILL_LOAD_JOB_REQUEST_H_

#include <QByteArray>
#include <cstddef>
#include <string>

#include "jayrill/load/planned_job.h"

namespace jayrill {

/// \returns the JSON body that submits \p job. An empty \p request_key is left
/// out. Times are rounded to whole milliseconds; a declared run time becomes at
/// least 1 ms.
QByteArray EncodeJobRequest(const planned_job& job,
                            const std::string& request_key);

/// Outcome of a job according to the HTTP answer.
struct job_answer_summary {
  bool completed = false;  ///< The job is complete and every task has a result.
  /// For a failure, what the entry says about execution, for example `not_run`;
  /// `no_answer` without such a statement.
  std::string effect;
  std::string code;  ///< Error code of a failure.

  auto operator<=>(const job_answer_summary&) const = default;
};

/// \returns the outcome of a job of \p tasks tasks that was answered with HTTP
/// \p status (0: no answer) and \p body. An answer that neither is complete nor
/// holds an error with an effect gives the effect `no_answer` and the code
/// `http_<status>`.
job_answer_summary ReadJobAnswer(int status,
                                 const QByteArray& body,
                                 std::size_t tasks);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_JOB_REQUEST_H_
