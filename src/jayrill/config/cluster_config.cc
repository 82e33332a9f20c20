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

const profile& cluster_config::ProfileOf(std::string_view service,
                                         std::string_view name) const {
  const auto found = name.empty() ? profiles.end() : profiles.find(name);
  return found == profiles.end() ? ProfileOf(service) : found->second;
}

const std::string* cluster_config::FindRoute(std::string_view host,
                                             std::string_view path) const {
  const std::string* best = nullptr;
  std::size_t longest = 0;
  for (const auto& [name, candidate] : routes) {
    const std::string& prefix = candidate.path_prefix;
    if (candidate.host == host && path.starts_with(prefix) &&
        (best == nullptr || prefix.size() > longest)) {
      best = &name;
      longest = prefix.size();
    }
  }
  return best;
}

}  // namespace jayrill
