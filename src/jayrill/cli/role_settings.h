#ifndef JAYRILL_CLI_ROLE_SETTINGS_H_
#define JAYRILL_CLI_ROLE_SETTINGS_H_

#include "jayrill/agent/agent_settings.h"
#include "jayrill/entry/entry_settings.h"
#include "jayrill/sample/sample_settings.h"

namespace jayrill {

/// \returns the settings of an entry, read from the Abseil flags.
entry_settings EntrySettingsFromFlags();

/// \returns the settings of an agent, read from the Abseil flags.
agent_settings AgentSettingsFromFlags();

/// \returns the settings of a sample backend, read from the Abseil flags.
sample_settings SampleSettingsFromFlags();

}  // namespace jayrill

#endif  // JAYRILL_CLI_ROLE_SETTINGS_H_
