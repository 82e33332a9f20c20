#ifndef JAYRILL_CLI_QUICK_JOB_H_
#define JAYRILL_CLI_QUICK_JOB_H_

#include <QByteArray>

namespace jayrill {

/// \returns the JSON body of the quick job: the job with --tasks equal tasks
/// that the flags of `submit` describe.
QByteArray QuickJobFromFlags();

}  // namespace jayrill

#endif  // JAYRILL_CLI_QUICK_JOB_H_
