#pragma once

#include <string>
#include <string_view>

namespace cometstand::rehearsal {

/// @return the XXH3 64-bit hash of an answer's body, in hex: the header X-Body-Digest, by which a caller
/// stand-in knows that an answer is whole.
std::string bodyDigest(std::string_view body);

}  // namespace cometstand::rehearsal
