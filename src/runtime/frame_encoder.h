#pragma once

#include <memory>
#include <unordered_map>

#include "net/frame_codec.h"
#include "runtime/process_core.h"

namespace cometstand::runtime {

/// Encodes the messages of one Actions. A message that goes to several links is encoded once.
class FrameEncoder {
 public:
  /// @param message must outlive this object.
  /// @throw Error(Invalid) as net::encodeFrame().
  net::SharedFrame frameOf(const MessagePointer& message) {
    // Nobody else holds it, so that it goes to one link only.
    if (message.use_count() == 1) return encode(*message);
    auto& frame = frames_[message.get()];
    if (!frame) frame = encode(*message);
    return frame;
  }

 private:
  static net::SharedFrame encode(const wire::EnvelopeT& message) {
    return std::make_shared<const net::FrameBytes>(net::encodeFrame(message));
  }

  std::unordered_map<const wire::EnvelopeT*, net::SharedFrame> frames_;
};

}  // namespace cometstand::runtime
