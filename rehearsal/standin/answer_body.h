#pragma once

#include <cstdint>
#include <string>

namespace cometstand::rehearsal {

/// @return the body by which a back-end stand-in answers a request: the request's identifier, a line feed,
/// and dots up to the wanted length. A caller stand-in knows by it that an answer is whole and its own.
inline std::string answerBody(const std::string& request_id, std::uint64_t wanted_bytes) {
  std::string body = request_id + "\n";
  if (body.size() < wanted_bytes) body.resize(wanted_bytes, '.');
  return body;
}

}  // namespace cometstand::rehearsal
