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
int RunStandalone(const command_input& /*input*/) {
  return NotAvailable();
}

}  // namespace jayrill
