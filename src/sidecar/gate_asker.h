#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

#include "base/time.h"
#include "runtime/process_core.h"

namespace cometstand::sidecar {

/// How an asker wants its answer.
struct AnswerWish {
  /// Bytes of the body that it takes before it grants more; 0 if all is wanted in one message.
  std::uint32_t credit = 0;
  /// Afterwards the answer is of no use.
  TimePoint wanted_until = TimePoint::max();
};

/// Who waits for the answer to a request at the gate: a link to another sidecar, or this sidecar itself.
struct GateAsker {
  /// The default stands for this sidecar's own callers.
  runtime::LinkId link{};
  std::uint64_t request_id = 0;
  /// Takes no part in the comparison.
  AnswerWish answer = {};

  friend bool operator==(const GateAsker& a, const GateAsker& b) {
    return a.link == b.link && a.request_id == b.request_id;
  }
  friend auto operator<=>(const GateAsker& a, const GateAsker& b) {
    return std::tie(a.link, a.request_id) <=>
           std::tie(b.link, b.request_id);  // NOLINT(modernize-use-nullptr)
  }
};

}  // namespace cometstand::sidecar
