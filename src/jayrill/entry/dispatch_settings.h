#ifndef JAYRILL_ENTRY_DISPATCH_SETTINGS_H_
#define JAYRILL_ENTRY_DISPATCH_SETTINGS_H_

#include <cstdint>
#include <string>

#include "jayrill/base/ids.h"

namespace jayrill {

/// Settings of the dispatcher side of an entry.
struct dispatch_settings {
  std::string entry_id;
  incarnation entry;
  std::string data_centre;
  std::string listen = "127.0.0.1:0";  ///< IP:port for agents; port 0: any.
  std::string strategy = "jayrill";
  std::uint64_t random_seed = 0;  ///< For strategies that draw at random.
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCH_SETTINGS_H_
