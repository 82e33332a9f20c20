#ifndef TESTS_SUPPORT_RANDOM_FAULTS_H_
#define TESTS_SUPPORT_RANDOM_FAULTS_H_

#include <chrono>

#include "jayrill/base/random_source.h"
#include "jayrill/store/memory_store.h"

namespace jayrill {

/// \returns a fault plan in which a call takes effect and is answered less than
/// 300 ms after it was made, at independent random times, and in which
/// \p percent of the calls fail in a random way. Among these are writes that
/// take effect after their caller has given up.
inline memory_store::fault_plan RandomFaults(random_source& random,
                                             std::uint64_t percent) {
  return [&random, percent](memory_store::operation) {
    store_fault fault;
    fault.apply_after = std::chrono::milliseconds(random.Below(300));
    fault.answer_after = std::chrono::milliseconds(random.Below(300));
    if (random.Below(100) < percent) {
      fault.what = static_cast<store_fault::kind>(1 + random.Below(3));
    }
    return fault;
  };
}

}  // namespace jayrill

#endif  // TESTS_SUPPORT_RANDOM_FAULTS_H_
