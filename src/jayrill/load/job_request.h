#ifndef JAYRILL_LOAD_JOB_REQUEST_H_
#define JAYRILL_LOAD_JOB_REQUEST_H_

#include <QByteArray>
#include <cstddef>
#include <string>

#include "jayrill/load/planned_job.h"

namespace jayrill {

/// \returns the JSON body that submits \p job. \p request_key is left out when
/// it is empty. Times are whole milliseconds.
QByteArray EncodeJobRequest(const planned_job& job,
                            const std::string& request_key);

/// What an answer to a job says.
struct job_answer_summary {
  bool whole = false;
  std::string effect;
  std::string code;

  auto operator<=>(const job_answer_summary&) const = default;
};

/// \returns what the answer with \p status and \p body says of a job of
/// \p tasks tasks. An answer that is neither whole nor marked failed has the
/// effect `no_answer`.
job_answer_summary ReadJobAnswer(int status,
                                 const QByteArray& body,
                                 std::size_t tasks);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_JOB_REQUEST_H_
