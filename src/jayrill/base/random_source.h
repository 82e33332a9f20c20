#ifndef JAYRILL_BASE_RANDOM_SOURCE_H_
#define JAYRILL_BASE_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace jayrill {

/// Source of randomness for all decision code; seeded in tests.
///
/// Satisfies the standard's UniformRandomBitGenerator, so it works with the
/// distributions of `<random>`.
class random_source {
 public:
  using result_type = std::uint64_t;

  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// \returns a source that is seeded by the operating system.
  static random_source FromSystem();

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return ~result_type{0}; }
  result_type operator()() { return engine_(); }

  /// \returns a number in [0, \p bound). \p bound must not be 0.
  std::uint64_t Below(std::uint64_t bound);

  /// \returns a number in [0, 1).
  double Unit();

 private:
  std::mt19937_64 engine_;
};

}  // namespace jayrill

#endif  // JAYRILL_BASE_RANDOM_SOURCE_H_
