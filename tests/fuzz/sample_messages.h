#pragma once

#include <string>
#include <vector>

#include "net/frame_codec.h"

namespace cometstand::fuzz {

/// @return one valid envelope or more of each message, with every field set.
std::vector<wire::EnvelopeT> sampleMessages();

/// @return the payload of the envelope's frame.
std::string payloadOf(const wire::EnvelopeT& envelope);

/// @return the payload as a frame with the right length and checksum.
std::vector<std::uint8_t> frameOf(const std::string& payload);

}  // namespace cometstand::fuzz
