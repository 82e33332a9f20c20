#ifndef JAYRILL_FUZZ_MUTATOR_H_
#define JAYRILL_FUZZ_MUTATOR_H_

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace jayrill::fuzz {

/// Generates inputs by random changes to the inputs of a corpus. The sequence
/// is the same for the same corpus and seed on every platform.
class mutator {
 public:
  /// \p corpus must not be empty.
  mutator(std::vector<std::string> corpus, std::uint32_t seed);

  /// \returns the next input. It is at most 4 KiB larger than the largest input
  /// of the corpus.
  std::string Next();

 private:
  /// \returns a random number in [0, \p limit), or 0 when \p limit is 0.
  std::size_t Below(std::size_t limit);
  void Change(std::string& input);
  void Overwrite(std::string& input);
  void Insert(std::string& input);
  void Remove(std::string& input);
  void Repeat(std::string& input);
  void Splice(std::string& input);

  std::vector<std::string> corpus_;
  std::size_t max_size_ = 4096;
  std::mt19937 random_;
};

}  // namespace jayrill::fuzz

#endif  // JAYRILL_FUZZ_MUTATOR_H_
