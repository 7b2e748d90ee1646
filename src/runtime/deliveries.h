#pragma once

#include <cstddef>

namespace cometstand::runtime {

/// Answers of this process that go to peers without a link. A planned stop ends once they have been
/// delivered: an answer is delivered when its peer has it, not when it was handed to a connection or to the
/// kernel.
class Deliveries {
 public:
  virtual ~Deliveries() = default;

  /// @return connections on which an answer that was handed over has not come, as far as can be told.
  virtual std::size_t undelivered() const = 0;
};

}  // namespace cometstand::runtime
