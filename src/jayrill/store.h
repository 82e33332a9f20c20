#ifndef JAYRILL_STORE_H_
#define JAYRILL_STORE_H_

/// \file
/// Umbrella header of the store module: the port to the platform's key-value
/// service.

#include "jayrill/store/store.h"

#endif  // JAYRILL_STORE_H_
