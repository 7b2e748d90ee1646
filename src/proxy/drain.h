#pragma once

#include <cstddef>

#include "base/time.h"
#include "proxy/data_path_options.h"

namespace cometstand::proxy {

/// A proxy's planned stop. First the relay is told and answers carry `Connection: close`, while requests are
/// still served, so that callers can move; after the grace time no more connections are accepted; the process
/// may exit once nothing is in flight, at the latest when the drain limit has passed.
/// A plain state machine that is handed the time.
class Drain {
 public:
  explicit Drain(const DataPathOptions& options) : grace_(options.drain_grace), limit_(options.drain_limit) {}

  /// May be called twice.
  void begin(TimePoint now) {
    if (begun_) return;
    begun_ = true;
    began_at_ = now;
  }

  bool begun() const { return begun_; }

  /// @return true while new connections are to be accepted.
  bool accepting(TimePoint now) const { return !begun_ || now < began_at_ + grace_; }

  /// @return true once new requests are to be refused, also on open connections.
  bool refusing(TimePoint now) const { return begun_ && now >= began_at_ + limit_; }

  /// @param in_flight requests not yet answered in full. @param connections callers' open connections.
  bool finished(std::size_t in_flight, std::size_t connections, TimePoint now) const {
    if (accepting(now)) return false;
    if (now >= began_at_ + limit_) return true;
    // A caller's idle connection may carry a request at any moment; it gets as long again as the grace.
    return in_flight == 0 && (connections == 0 || now >= began_at_ + 2 * grace_);
  }

 private:
  Duration grace_;
  Duration limit_;
  bool begun_ = false;
  TimePoint began_at_;
};

}  // namespace cometstand::proxy
