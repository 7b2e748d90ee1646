#include "store/options.h"

#include <fmt/format.h>

#include "base/error.h"

namespace cometstand::store {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

template <typename Value>
void checkRange(const char* name, Value value, Value minimum, Value maximum) {
  if (value >= minimum && value <= maximum) return;
  throw Error(ErrorKind::Invalid, fmt::format("{} is out of its range", name),
              "choose a value from the range in docs/SETTINGS.md");
}

void checkRange(const char* name, Duration value, Duration minimum, Duration maximum) {
  checkRange(name, value.count(), minimum.count(), maximum.count());
}

}  // namespace

void StoreOptions::check() const {
  consensus.check();
  checkRange<std::size_t>("voters", voters, 1, 9);
  checkRange<std::size_t>("spare_voters", spare_voters, 0, 8);
  checkRange<double>("rollout_exposure_share", rollout_exposure_share, 0, 1);
  checkRange<std::uint64_t>("rollout_exposure_slack", rollout_exposure_slack, 0, 1'000'000);
  checkRange("replace_silent_after", replace_silent_after, milliseconds(100), hours(24));
  checkRange<std::size_t>("max_readers", max_readers, 1, 1'000);
  checkRange("reader_join_rate", reader_join_rate, 0.1, 10'000.0);
  checkRange("reader_join_burst", reader_join_burst, 1.0, 10'000.0);
  checkRange("beat_interval", beat_interval, milliseconds(10), minutes(1));
  checkRange<std::size_t>("max_batches_in_flight", max_batches_in_flight, 1, 64);
  checkRange<std::size_t>("max_commands_per_batch", max_commands_per_batch, 1, 10'000);
  checkRange<std::size_t>("max_commands_waiting", max_commands_waiting, 1, 1'000'000);
  checkRange("command_time_limit", command_time_limit, milliseconds(100), minutes(10));
  checkRange("status_time_limit", status_time_limit, milliseconds(10), minutes(1));
  checkRange("claim_time_limit", claim_time_limit, seconds(1), hours(24));
  checkRange("repair_time_limit", repair_time_limit, seconds(1), hours(24));
  checkRange("max_wait", max_wait, seconds(1), hours(24));
  checkRange("retry_after", retry_after, milliseconds(1), minutes(1));
  checkRange("reconnect_minimum", reconnect_minimum, milliseconds(1), minutes(1));
  checkRange("reconnect_maximum", reconnect_maximum, reconnect_minimum, minutes(1));
  checkRange("stop_time_limit", stop_time_limit, milliseconds(0), minutes(1));
}

}  // namespace cometstand::store
