#include "proxy/http_message.h"

#include <boost/algorithm/string/predicate.hpp>

namespace cometstand::proxy {

std::optional<std::string_view> findHeader(const HeaderFields& headers, std::string_view name) {
  for (const auto& field : headers) {
    if (boost::algorithm::iequals(field.name, name)) return field.value;
  }
  return std::nullopt;
}

}  // namespace cometstand::proxy
