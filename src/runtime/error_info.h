#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "runtime/process_core.h"
#include "schema/control_generated.h"

namespace cometstand::runtime {

/// @return the error in its wire form.
std::shared_ptr<wire::ErrorInfoT> errorInfo(ErrorKind kind, std::string message, std::string remedy,
                                            Duration retry_after);

/// @return the error in its wire form.
std::shared_ptr<wire::ErrorInfoT> errorInfo(const Error& error);

/// @return the addresses in their wire form.
std::vector<std::shared_ptr<wire::NetworkAddressT>> networkAddresses(const std::vector<Address>& addresses);

/// @return a refusal that says when to come back and where else to try.
wire::RefusalT makeRefusal(std::shared_ptr<wire::ErrorInfoT> error, const std::vector<Address>& alternatives);

}  // namespace cometstand::runtime
