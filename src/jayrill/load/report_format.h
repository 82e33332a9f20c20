#ifndef JAYRILL_LOAD_REPORT_FORMAT_H_
#define JAYRILL_LOAD_REPORT_FORMAT_H_

#include <string>

#include "jayrill/load/load_report.h"

namespace jayrill {

/// \returns \p report as text for people, several lines.
std::string FormatReport(const load_report& report);

/// \returns \p report as one JSON object; values that are not known are null.
std::string EncodeReport(const load_report& report);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_REPORT_FORMAT_H_
