#ifndef JAYRILL_CONFIG_OUT_LIST_H_
#define JAYRILL_CONFIG_OUT_LIST_H_

#include <set>
#include <string>

#include "jayrill/base/ids.h"
#include "jayrill/config/cluster_config.h"

namespace jayrill {

/// All data centres that operators have taken out of service, as of a revision
/// of the store.
struct out_list {
  config_revision revision;  ///< 0: nothing is known.
  std::set<std::string> data_centres;

  auto operator<=>(const out_list&) const = default;
};

/// \returns the data centres that \p config takes out, as of its revision.
inline out_list OutListOf(const cluster_config& config) {
  out_list list{config.revision, {}};
  for (const auto& [name, state] : config.data_centres) {
    if (state.out) {
      list.data_centres.insert(name);
    }
  }
  return list;
}

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_OUT_LIST_H_
