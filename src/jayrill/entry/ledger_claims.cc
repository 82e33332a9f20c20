#include "jayrill/entry/ledger_claims.h"

#include <glog/logging.h>

#include <utility>

namespace jayrill {
namespace {

// Logs when the end or the release of a claim is not stored. The ledger retries
// by itself, so nothing else is done here. Such a claim stays in the state
// running, so that resubmissions to other entries get may_have_run.
claim_ledger::finished_function LogFailure(const std::string& key) {
  return [key](const result<void>& finished) {
    if (!finished) {
      LOG(WARNING) << "claim: the end or release of " << key
                   << " is not stored: " << ToString(finished.error());
    }
  };
}

}  // namespace

void ledger_claims::Acquire(const std::string& key,
                            std::uint64_t content_hash,
                            decision_function decided) {
  ledger_.Acquire(key, content_hash, std::move(decided));
}

void ledger_claims::End(const std::string& key, ended_outcome outcome) {
  ledger_.End(key, std::move(outcome), LogFailure(key));
}

void ledger_claims::Release(const std::string& key) {
  ledger_.Release(key, LogFailure(key));
}

}  // namespace jayrill
