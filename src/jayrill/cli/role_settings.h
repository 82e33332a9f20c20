#ifndef JAYRILL_CLI_ROLE_SETTINGS_H_
#define JAYRILL_CLI_ROLE_SETTINGS_H_

#include "jayrill/agent/agent_settings.h"
#include "jayrill/agent/leased_minion.h"
#include "jayrill/entry/entry_settings.h"
#include "jayrill/sample/sample_settings.h"

namespace jayrill {

/// \returns the settings of an entry, read from the Abseil flags.
entry_settings EntrySettingsFromFlags();

/// \returns the settings of an agent, read from the Abseil flags.
agent_settings AgentSettingsFromFlags();

/// \returns the limits of the lease of an agent's runs, read from the Abseil
/// flags.
lease_settings LeaseSettingsFromFlags();

/// \returns the settings of a sample backend, read from the Abseil flags.
sample_settings SampleSettingsFromFlags();

}  // namespace jayrill

#endif  // JAYRILL_CLI_ROLE_SETTINGS_H_
