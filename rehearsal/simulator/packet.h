#pragma once

#include <cstdint>
#include <memory>
#include <variant>

#include "net/frame_codec.h"
#include "proxy/http_message.h"
#include "schema/control_generated.h"

namespace cometstand::simulator {

/// A request as it stands on the wire.
struct HttpRequest {
  proxy::CallerRequestPointer message;
  /// Value for X-Attempt.
  unsigned attempt = 1;
  /// When the sender gives up.
  Duration time_left = Duration::zero();
  /// Bearer token that the proxy adds; empty for none.
  std::string secret;
};

/// An answer as it stands on the wire. The outcome is what the proxy's X-Outcome says.
struct HttpResponse {
  wire::Outcome outcome = wire::Outcome::Completed;
  proxy::BackendResponse response;
  Duration retry_after = Duration::zero();
  /// The sender closes the connection after it.
  bool closes = false;
};

/// A frame of the control protocols, encoded, so that a run pays for and checks the codec as well.
using Frame = std::shared_ptr<const net::FrameBytes>;

using Packet = std::variant<Frame, std::shared_ptr<const HttpRequest>, std::shared_ptr<const HttpResponse>>;

}  // namespace cometstand::simulator
