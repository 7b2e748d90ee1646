#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace cometstand::rehearsal {

/// How a back-end stand-in behaves while it runs; all of it can be changed by POST /control.
struct BackendBehavior {
  /// Every service time is multiplied by this.
  double slow_factor = 1;
  /// Share of the answers, from [0, 1], that `truncate_after` and `reset_after` strike.
  double fault_share = 1;
  /// Ends the connection in order after this many bytes of an answer's body.
  std::optional<std::uint64_t> truncate_after;
  /// Resets the connection after this many bytes of an answer's body.
  std::optional<std::uint64_t> reset_after;
  /// Reports the load as it was this long ago.
  Duration load_lag = Duration::zero();
  /// Reports this load instead of the true one.
  std::optional<double> load_lie;
  /// While leaving, answers new requests with X-Not-Run: leaving. If false it runs them, as a back end that
  /// knows nothing of its own stop would.
  bool refuse_while_leaving = true;
  /// Health and load endpoints do not answer.
  bool probes_hang = false;
  /// Sheds every request.
  bool shed_all = false;
  /// Begins the drain; cannot be taken back.
  bool leaving = false;
};

/// Applies the members of a JSON object, whose names are the fields' with `load_lag_ms` for `load_lag`; null
/// clears an optional field.
/// @throw Error(Malformed or Invalid) naming the member; nothing is applied then.
BackendBehavior applyControl(BackendBehavior behavior, const boost::json::value& control);

}  // namespace cometstand::rehearsal
