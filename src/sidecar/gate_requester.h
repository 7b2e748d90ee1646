#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

#include "base/time.h"
#include "runtime/process_core.h"

namespace cometstand::sidecar {

/// How the sender of a request wants the answer delivered.
struct ReplyOptions {
  /// Bytes of the body that the sender accepts before it grants more credit; 0 if the whole answer is to come
  /// in one message.
  std::uint32_t credit = 0;
  /// After this time the answer is of no use.
  TimePoint useful_until = TimePoint::max();
};

/// The sender of a request at the gate: a link to another sidecar, or this sidecar itself.
struct GateRequester {
  /// Default: this sidecar itself, for its local callers.
  runtime::LinkId link{};
  std::uint64_t request_id = 0;
  /// Not compared: it does not identify the sender.
  ReplyOptions answer = {};

  friend bool operator==(const GateRequester& a, const GateRequester& b) {
    return a.link == b.link && a.request_id == b.request_id;
  }
  friend auto operator<=>(const GateRequester& a, const GateRequester& b) {
    return std::tie(a.link, a.request_id) <=>
           std::tie(b.link, b.request_id);  // NOLINT(modernize-use-nullptr)
  }
};

}  // namespace cometstand::sidecar
