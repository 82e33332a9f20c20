#pragma once

#include "fleet.hpp"

namespace review {

// How a case has ended; also the exit status of its script.
enum class verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

// Each plays its case, without the disruption when `trouble` is false.
verdict FrozenEntry(record& log, bool trouble);
verdict LateStops(record& log, bool trouble);
verdict SpecWithMark(record& log, bool trouble);
verdict CancelledJob(record& log, bool trouble);
verdict EntryThenAgent(record& log, bool trouble);

}  // namespace review
