#ifndef JAYRILL_STORE_H_
#define JAYRILL_STORE_H_

/// \file
/// Umbrella header of the store module: the port to the platform's key-value
/// service, its two implementations and the timers they share.

#include "jayrill/store/etcd_store.h"
#include "jayrill/store/json_object.h"
#include "jayrill/store/memory_store.h"
#include "jayrill/store/qt_scheduler.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"
#include "jayrill/store/watch_log.h"

#endif  // JAYRILL_STORE_H_
