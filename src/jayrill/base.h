#ifndef JAYRILL_BASE_H_
#define JAYRILL_BASE_H_

/// \file
/// Umbrella header of the base module: identifiers, addresses, errors, clocks,
/// random numbers, and the structures that pass data between threads
/// (work_queue, snapshot).

#include "jayrill/base/clock.h"
#include "jayrill/base/endpoint.h"
#include "jayrill/base/error.h"
#include "jayrill/base/hash.h"
#include "jayrill/base/ids.h"
#include "jayrill/base/name.h"
#include "jayrill/base/random_source.h"
#include "jayrill/base/ref_counted.h"
#include "jayrill/base/snapshot.h"
#include "jayrill/base/thread_sanitizer.h"
#include "jayrill/base/work_queue.h"

#endif  // JAYRILL_BASE_H_
