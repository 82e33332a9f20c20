#include <iostream>

#include "jayrill/cli/command.h"

namespace jayrill {
namespace {
int NotAvailable() {
  std::cerr << "jayrill: this build does not have the command\n";
  return kExitFailed;
}
}  // namespace

int RunEntry(const command_input& /*input*/) {
  return NotAvailable();
}
int RunAgent(const command_input& /*input*/) {
  return NotAvailable();
}
int RunSampleBackend(const command_input& /*input*/) {
  return NotAvailable();
}
int RunStandalone(const command_input& /*input*/) {
  return NotAvailable();
}
int RunSubmit(const command_input& /*input*/) {
  return NotAvailable();
}
int RunLoad(const command_input& /*input*/) {
  return NotAvailable();
}
int RunProfile(const command_input& /*input*/) {
  return NotAvailable();
}
int RunService(const command_input& /*input*/) {
  return NotAvailable();
}
int RunTeam(const command_input& /*input*/) {
  return NotAvailable();
}
int RunDataCentre(const command_input& /*input*/) {
  return NotAvailable();
}
int RunStatus(const command_input& /*input*/) {
  return NotAvailable();
}
int RunAudit(const command_input& /*input*/) {
  return NotAvailable();
}
}  // namespace jayrill
