#ifndef JAYRILL_JOB_RESOURCE_AMOUNT_H_
#define JAYRILL_JOB_RESOURCE_AMOUNT_H_

#include <compare>
#include <cstdint>
#include <limits>

namespace jayrill {

/// Amounts of the resources of a worker that tasks share, in addition to the
/// slots of its minion. Used for capacities and for the needs of tasks.
///
/// In a capacity, 0 means that the resource is not limited, so a minion may
/// announce only its slots, unless zero_means_none is set.
struct resource_amount {
  std::uint32_t cpu_millis = 0;  ///< Thousandths of a core.
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  /// In a capacity: a minion with 0 of a resource has none of it.
  bool zero_means_none = false;

  auto operator<=>(const resource_amount&) const = default;

  /// Adds \p other; no amount overflows, so that a huge need fits nowhere.
  resource_amount& operator+=(const resource_amount& other) {
    const auto add = [](std::uint32_t left, std::uint32_t right) {
      const std::uint32_t sum = left + right;
      return sum < left ? std::numeric_limits<std::uint32_t>::max() : sum;
    };
    cpu_millis = add(cpu_millis, other.cpu_millis);
    memory_mb = add(memory_mb, other.memory_mb);
    accelerators = add(accelerators, other.accelerators);
    return *this;
  }

  /// Subtracts \p other; no amount gets below 0.
  resource_amount& operator-=(const resource_amount& other) {
    cpu_millis -= cpu_millis < other.cpu_millis ? cpu_millis : other.cpu_millis;
    memory_mb -= memory_mb < other.memory_mb ? memory_mb : other.memory_mb;
    accelerators -=
        accelerators < other.accelerators ? accelerators : other.accelerators;
    return *this;
  }

  /// \returns each amount multiplied by \p factor, which is not negative.
  resource_amount Scaled(double factor) const {
    const auto scale = [factor](std::uint32_t amount) {
      return static_cast<std::uint32_t>(amount * factor);
    };
    return {scale(cpu_millis), scale(memory_mb), scale(accelerators),
            zero_means_none};
  }

  friend resource_amount operator+(resource_amount left,
                                   const resource_amount& right) {
    return left += right;
  }
  friend resource_amount operator-(resource_amount left,
                                   const resource_amount& right) {
    return left -= right;
  }
};

/// \returns true when no amount of \p used exceeds \p capacity, where 0 is no
/// limit unless resource_amount::zero_means_none is set.
inline bool IsWithin(const resource_amount& used,
                     const resource_amount& capacity) {
  const auto holds = [&capacity](std::uint32_t amount, std::uint32_t limit) {
    return amount <= limit || (limit == 0 && !capacity.zero_means_none);
  };
  return holds(used.cpu_millis, capacity.cpu_millis) &&
         holds(used.memory_mb, capacity.memory_mb) &&
         holds(used.accelerators, capacity.accelerators);
}

}  // namespace jayrill

#endif  // JAYRILL_JOB_RESOURCE_AMOUNT_H_
