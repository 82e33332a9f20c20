#include "mutator.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <string_view>
#include <utility>

namespace jayrill::fuzz {
namespace {

/// Texts that often reach branches of parsers that random bytes do not reach.
constexpr std::array<std::string_view, 22> kTokens = {"0",
                                                      "-1",
                                                      "1e999",
                                                      "4294967296",
                                                      "18446744073709551616",
                                                      "null",
                                                      "true",
                                                      "\"\"",
                                                      "\\u0000",
                                                      "\\ud800",
                                                      "[",
                                                      "]",
                                                      "{",
                                                      "}",
                                                      ",",
                                                      ":",
                                                      "\r\n",
                                                      "\r\n\r",
                                                      "\xff\xff",
                                                      "\xed\xa0\x80",
                                                      "NaN",
                                                      "9223372036854775808"};

constexpr std::size_t kMaxChanges = 6;
constexpr std::size_t kMaxBlock = 64;

}  // namespace

mutator::mutator(std::vector<std::string> corpus, std::uint32_t seed)
    : corpus_(std::move(corpus)), random_(seed) {
  assert(!corpus_.empty() && "give at least one seed input");
  for (const std::string& input : corpus_) {
    max_size_ = std::max(max_size_, input.size() + 4096);
  }
}

std::size_t mutator::Below(std::size_t limit) {
  // std::uniform_int_distribution is not used because its results differ
  // between standard libraries.
  return limit == 0 ? 0 : random_() % limit;
}

std::string mutator::Next() {
  std::string input = corpus_[Below(corpus_.size())];
  const std::size_t changes = 1 + Below(kMaxChanges);
  for (std::size_t i = 0; i < changes; ++i) {
    Change(input);
  }
  input.resize(std::min(input.size(), max_size_));
  return input;
}

void mutator::Change(std::string& input) {
  using change = void (mutator::*)(std::string&);
  static constexpr std::array<change, 5> kChanges = {
      &mutator::Overwrite, &mutator::Insert, &mutator::Remove, &mutator::Repeat,
      &mutator::Splice};
  (this->*kChanges[Below(kChanges.size())])(input);
}

void mutator::Overwrite(std::string& input) {
  if (input.empty()) {
    return;
  }
  char& byte = input[Below(input.size())];
  byte = Below(2) == 0 ? static_cast<char>(byte ^ (1U << Below(8)))
                       : static_cast<char>(Below(256));
}

void mutator::Insert(std::string& input) {
  input.insert(Below(input.size() + 1), kTokens[Below(kTokens.size())]);
}

void mutator::Remove(std::string& input) {
  input.erase(Below(input.size() + 1), 1 + Below(kMaxBlock));
}

void mutator::Repeat(std::string& input) {
  const std::string block =
      input.substr(Below(input.size() + 1), 1 + Below(kMaxBlock));
  const std::size_t position = Below(input.size() + 1);
  for (std::size_t count = 1 + Below(4); count > 0; --count) {
    input.insert(position, block);
  }
}

void mutator::Splice(std::string& input) {
  const std::string& donor = corpus_[Below(corpus_.size())];
  input.resize(Below(input.size() + 1));
  input += donor.substr(Below(donor.size() + 1));
}

}  // namespace jayrill::fuzz
