#ifndef JAYRILL_SESSION_SESSION_NUMBER_H_
#define JAYRILL_SESSION_SESSION_NUMBER_H_

#include "jayrill/base/ids.h"

namespace jayrill {

/// Names a session among all that one entry incarnation opens; 0: not known.
using session_number = strong_id<struct session_number_tag>;

}  // namespace jayrill

#endif  // JAYRILL_SESSION_SESSION_NUMBER_H_
