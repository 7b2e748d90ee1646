#include "rehearsal/standin/body_digest.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace cometstand::rehearsal {

std::string bodyDigest(std::string_view body) {
  return fmt::format("{:016x}", XXH3_64bits(body.data(), body.size()));
}

}  // namespace cometstand::rehearsal
