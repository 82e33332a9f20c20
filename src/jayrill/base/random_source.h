#ifndef JAYRILL_BASE_RANDOM_SOURCE_H_
#define JAYRILL_BASE_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace jayrill {

/// Pseudo-random number generator. Code that makes random decisions takes one,
/// so that tests can repeat a run with the same seed.
///
/// Meets the requirements of UniformRandomBitGenerator, so it works with the
/// distributions of `<random>`. Not thread-safe.
class random_source {
 public:
  using result_type = std::uint64_t;

  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// \returns a source with a seed from the operating system.
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
