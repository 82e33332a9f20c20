#include "jayrill/config/cluster_config.h"

namespace jayrill {

bool cluster_config::IsOut(std::string_view data_centre) const {
  const auto found = data_centres.find(data_centre);
  return found != data_centres.end() && found->second.out;
}

const profile& cluster_config::ProfileOf(std::string_view service) const {
  static const profile kDefaultProfile;
  const auto binding = services.find(service);
  if (binding == services.end()) {
    return kDefaultProfile;
  }
  const auto found = profiles.find(binding->second.profile);
  return found == profiles.end() ? kDefaultProfile : found->second;
}

}  // namespace jayrill
