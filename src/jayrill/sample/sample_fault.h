#ifndef JAYRILL_SAMPLE_SAMPLE_FAULT_H_
#define JAYRILL_SAMPLE_SAMPLE_FAULT_H_

#include <optional>
#include <string_view>

namespace jayrill {

/// Faults that a sample backend can apply to the answer of every task. The task
/// is counted as executed in each case.
enum class sample_fault {
  kNone,
  kFail,      ///< Status 500 without waiting for the run time.
  kNotJson,   ///< Status 200 with a body that is not JSON.
  kNotHttp,   ///< An answer that is not HTTP.
  kNever,     ///< No answer; the connection stays open.
  kEndless,   ///< A body that does not end.
  kHuge,      ///< A JSON body of 9 MB.
  kDrop,      ///< Closes the connection instead of answering.
  kReset,     ///< Resets the connection, as a crash of the process does.
  kTruncate,  ///< Closes the connection in the middle of the body.
};

/// \returns the fault called \p name, for example `drop`; nothing when there is
/// no such fault.
std::optional<sample_fault> ParseSampleFault(std::string_view name);

}  // namespace jayrill

#endif  // JAYRILL_SAMPLE_SAMPLE_FAULT_H_
