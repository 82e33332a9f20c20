// Runs a fuzz target on the files of a corpus and on mutations of them.
// Usage: TARGET_fuzz CORPUS_DIRECTORY_OR_FILE [RUNS [SEED]]
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "fuzz_target.h"
#include "mutator.h"

// Defined by the runtime of the address sanitizer, which sets the name; null in
// builds without it.
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" __attribute__((weak)) void __sanitizer_set_death_callback(
    void (*callback)());

namespace {

constexpr unsigned kDefaultRuns = 20'000;
constexpr unsigned kDefaultSeed = 1;

// NOLINTNEXTLINE: global because the signal handler prints it.
std::string current_input;

void WriteToStderr(const char* text, std::size_t size) {
  [[maybe_unused]] const auto written = write(STDERR_FILENO, text, size);
}

/// Prints the current input in hexadecimal digits. Safe in a signal handler.
void PrintInput() {
  constexpr char kDigits[] = "0123456789abcdef";
  WriteToStderr("fuzz: failing input: ", 21);
  for (const char c : current_input) {
    const auto byte = static_cast<unsigned char>(c);
    const char pair[2] = {kDigits[byte >> 4U], kDigits[byte & 15U]};
    WriteToStderr(pair, sizeof pair);
  }
  WriteToStderr("\n", 1);
}

void OnAbort(int /*signal*/) {
  PrintInput();
  std::_Exit(1);
}

void RunInput(const std::string& input) {
  current_input = input;
  // A copy of the exact size, so that the address sanitizer detects every read
  // past its end.
  const std::vector<std::uint8_t> bytes(input.begin(), input.end());
  LLVMFuzzerTestOneInput(bytes.data(), bytes.size());
}

std::vector<std::string> ReadCorpus(const std::string& path) {
  // Sorted, so that a run does not depend on the order of directory entries.
  std::set<std::filesystem::path> files;
  if (std::filesystem::is_directory(path)) {
    for (const auto& entry : std::filesystem::directory_iterator(path)) {
      files.insert(entry.path());
    }
  } else {
    files.insert(path);
  }
  std::vector<std::string> corpus;
  for (const auto& file : files) {
    std::ifstream stream(file, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(stream),
                        std::istreambuf_iterator<char>());
  }
  return corpus;
}

unsigned ParseNumber(int argc, char** argv, int index, unsigned fallback) {
  return argc > index
             ? static_cast<unsigned>(std::strtoul(argv[index], nullptr, 10))
             : fallback;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> corpus =
      argc > 1 ? ReadCorpus(argv[1]) : std::vector<std::string>();
  if (corpus.empty()) {
    std::cerr << "usage: " << argv[0] << " CORPUS [RUNS [SEED]]\n";
    return 2;
  }
  const unsigned runs = ParseNumber(argc, argv, 2, kDefaultRuns);
  const unsigned seed = ParseNumber(argc, argv, 3, kDefaultSeed);
  std::signal(SIGABRT, OnAbort);
  std::signal(SIGFPE, OnAbort);
  if (__sanitizer_set_death_callback != nullptr) {
    __sanitizer_set_death_callback(PrintInput);
  } else {
    std::signal(SIGSEGV, OnAbort);
  }
  for (const std::string& input : corpus) {
    RunInput(input);
  }
  jayrill::fuzz::mutator mutations(corpus, seed);
  for (unsigned i = 0; i < runs; ++i) {
    RunInput(mutations.Next());
  }
  std::cout << "fuzz: " << corpus.size() << " seeds and " << runs
            << " mutations passed, seed " << seed << "\n";
  return 0;
}
