#ifndef JAYRILL_AGENT_ENTRY_SELECTION_H_
#define JAYRILL_AGENT_ENTRY_SELECTION_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jayrill/rpc/entry_endpoint.h"

namespace jayrill {

/// Chooses the entries that an agent connects to.
///
/// In a large fleet a session of each entry with each agent costs more than a
/// small entry has: every session brings reports, heartbeats and
/// configurations. Each agent therefore connects to a bounded number of
/// entries, so that the sessions of an entry grow with the agents per entry and
/// not with the agents.
///
/// The choice is a weighted rendezvous hash. It needs no agreement between
/// processes, gives every agent the same number of entries, gives an entry
/// sessions in proportion to its processor share, and changes little when an
/// entry joins or leaves. Entries of the agent's own data centre are preferred,
/// because traffic inside a data centre is cheaper.
///
/// \returns the addresses of at most \p limit of \p entries; all of them when
/// there are no more than \p limit.
std::set<std::string> SelectEntries(std::string_view agent_id,
                                    std::string_view data_centre,
                                    const std::vector<entry_endpoint>& entries,
                                    std::size_t limit);

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ENTRY_SELECTION_H_
