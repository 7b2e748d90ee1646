#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "view/view.h"

namespace cometstand::proxy {

/// Name of the file in the proxy's data folder that holds the view in force.
inline constexpr const char* kViewFile = "view";

/// @return the file's bytes: a frame with length and checksum (see net/frame_codec.h) around a ViewSnapshot.
std::vector<std::uint8_t> encodeViewFile(const view::View& view);

/// @return the view that the bytes hold, checked as if it came from a relay.
/// @throw Error(Corrupt) if the bytes are cut short, damaged, or hold no whole view.
view::ViewPointer decodeViewFile(std::span<const std::uint8_t> bytes);

}  // namespace cometstand::proxy
