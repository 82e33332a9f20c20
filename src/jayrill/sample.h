#ifndef JAYRILL_SAMPLE_H_
#define JAYRILL_SAMPLE_H_

/// \file
/// Umbrella header of the sample module: a minion with configurable speed,
/// slots and faults that counts the executions of tasks.

#include "jayrill/sample/execution_record.h"
#include "jayrill/sample/sample_backend.h"
#include "jayrill/sample/sample_fault.h"
#include "jayrill/sample/sample_settings.h"

#endif  // JAYRILL_SAMPLE_H_
