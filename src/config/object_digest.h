#pragma once

#include <cstdint>
#include <string_view>

#include "schema/objects_generated.h"

namespace cometstand::config {

/// @return the XXH3 128-bit hash of the object's FlatBuffers bytes, its key and the version that last changed
/// it. Equal on every machine, since one FlatBuffers library writes equal bytes for equal objects.
wire::Digest objectDigest(const wire::ObjectT& object, std::uint64_t version);

/// @return the XXH3 128-bit hash of any text or bytes.
wire::Digest textDigest(std::string_view text);

/// @return the sum modulo 2^128: digests of sets are sums of their members' digests.
wire::Digest addDigest(const wire::Digest& left, const wire::Digest& right);

/// @return the difference modulo 2^128.
wire::Digest subtractDigest(const wire::Digest& left, const wire::Digest& right);

/// @return true if both halves are equal.
bool sameDigest(const wire::Digest& left, const wire::Digest& right);

}  // namespace cometstand::config
