// Stands in for the JSON codec of the config module until it is in the tree:
// `<revision> <data centre that is out>`.

#include "jayrill/config/config_codec.h"

namespace jayrill {

std::string EncodeConfig(const cluster_config& config, audit_trail) {
  std::string text = std::to_string(config.revision.value) + ' ';
  for (const auto& [name, state] : config.data_centres) {
    text += state.out ? name : "";
  }
  return text;
}

result<cluster_config> DecodeConfig(std::string_view json) {
  const std::string text(json);
  const std::size_t space = text.find(' ');
  if (space == std::string::npos) {
    return MakeError(error_kind::kInvalidArgument, "malformed", "");
  }
  cluster_config config;
  config.revision = {std::stoull(text)};
  const std::string out = text.substr(space + 1);
  if (!out.empty()) {
    config.data_centres[out].out = true;
  }
  return config;
}

}  // namespace jayrill
