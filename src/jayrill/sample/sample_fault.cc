#include "jayrill/sample/sample_fault.h"

namespace jayrill {

namespace {

struct named_fault {
  std::string_view name;
  sample_fault fault;
};

constexpr named_fault kFaults[] = {
    {"none", sample_fault::kNone},        {"fail", sample_fault::kFail},
    {"not_json", sample_fault::kNotJson}, {"not_http", sample_fault::kNotHttp},
    {"never", sample_fault::kNever},      {"endless", sample_fault::kEndless},
    {"huge", sample_fault::kHuge},        {"drop", sample_fault::kDrop},
    {"reset", sample_fault::kReset},      {"truncate", sample_fault::kTruncate},
};

}  // namespace

std::optional<sample_fault> ParseSampleFault(std::string_view name) {
  for (const named_fault& candidate : kFaults) {
    if (candidate.name == name) {
      return candidate.fault;
    }
  }
  return std::nullopt;
}

}  // namespace jayrill
