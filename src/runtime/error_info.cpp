#include "runtime/error_info.h"

#include <utility>

namespace cometstand::runtime {

std::shared_ptr<wire::ErrorInfoT> errorInfo(ErrorKind kind, std::string message, std::string remedy,
                                            Duration retry_after) {
  auto info = std::make_shared<wire::ErrorInfoT>();
  info->kind = static_cast<std::uint16_t>(kind);
  info->message = std::move(message);
  info->remedy = std::move(remedy);
  info->retry_after_ms = static_cast<std::uint32_t>(ceilMilliseconds(retry_after));
  return info;
}

std::shared_ptr<wire::ErrorInfoT> errorInfo(const Error& error) {
  return errorInfo(error.kind(), error.message(), error.remedy(), error.retryAfter());
}

std::vector<std::shared_ptr<wire::NetworkAddressT>> networkAddresses(const std::vector<Address>& addresses) {
  std::vector<std::shared_ptr<wire::NetworkAddressT>> result;
  result.reserve(addresses.size());
  for (const auto& address : addresses) {
    auto item = std::make_shared<wire::NetworkAddressT>();
    item->address = address.host;
    item->port = address.port;
    result.push_back(std::move(item));
  }
  return result;
}

wire::RefusalT makeRefusal(std::shared_ptr<wire::ErrorInfoT> error,
                           const std::vector<Address>& alternatives) {
  wire::RefusalT refusal;
  refusal.error = std::move(error);
  refusal.alternatives = networkAddresses(alternatives);
  return refusal;
}

}  // namespace cometstand::runtime
