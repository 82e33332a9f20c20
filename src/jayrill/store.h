#ifndef JAYRILL_STORE_H_
#define JAYRILL_STORE_H_

/// \file
/// Umbrella header of the store module: the interface to the key-value store,
/// its in-memory and etcd implementations, and the scheduler interface that
/// they use for timers.

#include "jayrill/store/etcd_store.h"
#include "jayrill/store/json_object.h"
#include "jayrill/store/memory_store.h"
#include "jayrill/store/qt_scheduler.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"
#include "jayrill/store/watch_log.h"

#endif  // JAYRILL_STORE_H_
