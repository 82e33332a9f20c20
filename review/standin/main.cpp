// Plays one case: review_case NAME RECORD. The environment variable TROUBLE=0
// leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.

#include <QCoreApplication>
#include <QTimer>
#include <array>
#include <cstdlib>
#include <cstring>
#include <iostream>

#include "cases.hpp"

namespace {

using review::record;
using review::verdict;

constexpr int kTimeLimitMs = 115'000;

struct named_case {
  const char* name;
  verdict (*play)(record&, bool);
};

constexpr std::array<named_case, 5> kCases{{
    {"frozen-entry", &review::FrozenEntry},
    {"late-stops", &review::LateStops},
    {"spec-with-mark", &review::SpecWithMark},
    {"cancelled-job", &review::CancelledJob},
    {"entry-then-agent", &review::EntryThenAgent},
}};

}  // namespace

int main(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  if (argc != 3) {
    std::cerr << "usage: review_case NAME RECORD\n";
    return static_cast<int>(verdict::kNotRun);
  }
  const bool trouble = qEnvironmentVariable("TROUBLE") != QLatin1String("0");
  QTimer::singleShot(kTimeLimitMs, [] {
    std::cerr << "the case takes too long\n";
    // The processes of the project end with this one.
    std::_Exit(static_cast<int>(verdict::kNotRun));
  });
  for (const named_case& item : kCases) {
    if (std::strcmp(item.name, argv[1]) == 0) {
      record log(QString::fromLocal8Bit(argv[2]));
      const verdict result = item.play(log, trouble);
      const char* const text = result == verdict::kBroken ? "the rule is broken"
                               : result == verdict::kHeld ? "the rule held"
                                                          : "could not run";
      log.Line(QLatin1String(text));
      std::cout << item.name << ": " << text << "\n";
      return static_cast<int>(result);
    }
  }
  std::cerr << "no case " << argv[1] << "\n";
  return static_cast<int>(verdict::kNotRun);
}
