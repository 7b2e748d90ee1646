#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "relay/request_numbers.h"
#include "runtime/action_queue.h"

namespace cometstand::relay {

/// Asks the upstream for the version that was current after a question arrived. Questions are coalesced: one
/// FreshnessRequest answers all that came before it was sent, never one that came after.
class FreshnessGate {
 public:
  /// Who asked: a proxy that waits for a view (request_id 0), or a following relay.
  struct Asker {
    runtime::LinkId link;
    std::uint64_t request_id = 0;
  };

  /// @param retry a request without answer is given up and sent anew after this time.
  FreshnessGate(runtime::ActionQueue& actions, RequestNumbers& numbers, Duration retry)
      : actions_(actions), numbers_(numbers), retry_(retry) {}

  void ask(Asker asker, TimePoint now);

  /// @return those whom this answer satisfies; none if the request id is not the one in flight.
  std::vector<Asker> onAnswer(std::uint64_t request_id, TimePoint now);

  void onUpstreamReady(runtime::LinkId link, TimePoint now);
  void onUpstreamLost() { upstream_.reset(); }

  /// Forgets the questions of a link that ended.
  void forget(runtime::LinkId link);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

 private:
  void send(TimePoint now);

  runtime::ActionQueue& actions_;
  RequestNumbers& numbers_;
  Duration retry_;
  std::optional<runtime::LinkId> upstream_;
  /// Request in flight; 0 for none.
  std::uint64_t request_id_ = 0;
  TimePoint sent_at_;
  std::vector<Asker> asked_;
  std::vector<Asker> waiting_;
};

}  // namespace cometstand::relay
