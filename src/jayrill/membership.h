#ifndef JAYRILL_MEMBERSHIP_H_
#define JAYRILL_MEMBERSHIP_H_

/// \file
/// Umbrella header of the membership module: the records of the live entries
/// in the store and the split of team quotas between the entries.

#include "jayrill/membership/entry_record.h"
#include "jayrill/membership/membership.h"
#include "jayrill/membership/team_shares.h"

#endif  // JAYRILL_MEMBERSHIP_H_
