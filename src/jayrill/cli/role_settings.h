#ifndef JAYRILL_CLI_ROLE_SETTINGS_H_
#define JAYRILL_CLI_ROLE_SETTINGS_H_

#include "jayrill/agent/agent_settings.h"
#include "jayrill/entry/entry_settings.h"
#include "jayrill/sample/sample_settings.h"

namespace jayrill {

/// \returns the settings of an entry from the flags.
entry_settings EntrySettingsFromFlags();

/// \returns the settings of an agent from the flags.
agent_settings AgentSettingsFromFlags();

/// \returns the settings of a sample backend from the flags.
sample_settings SampleSettingsFromFlags();

}  // namespace jayrill

#endif  // JAYRILL_CLI_ROLE_SETTINGS_H_
