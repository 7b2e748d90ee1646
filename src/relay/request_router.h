#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "relay/request_numbers.h"
#include "runtime/action_queue.h"

namespace cometstand::relay {

/// Passes claims up and their answers down. Each request gets an id of its own upstream, so that an answer
/// reaches the link and request that asked, or nobody. NotRun is answered only for what never went up; what
/// went up and stayed unanswered is Unknown.
class RequestRouter {
 public:
  RequestRouter(runtime::ActionQueue& actions, RequestNumbers& numbers, Duration limit)
      : actions_(actions), numbers_(numbers), limit_(limit) {}

  /// Passes a ClaimRequest or ClaimFinish up, or answers it at once if there is no upstream.
  void forward(runtime::LinkId from, const wire::EnvelopeT& message, TimePoint now);

  /// @return true if the answer belonged to a request of this router.
  bool onAnswer(std::uint64_t request_id, const wire::ClaimReplyT& reply);

  void onUpstreamReady(runtime::LinkId link) { upstream_ = link; }
  /// Answers all that went up on the link as Unknown.
  void onUpstreamClosed(runtime::LinkId link);

  /// Drops the answers of a link that ended.
  void forget(runtime::LinkId link);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const;

  bool busy() const { return !pending_.empty(); }

 private:
  struct Pending {
    runtime::LinkId link;
    std::uint64_t request_id = 0;
    runtime::LinkId upstream;
    TimePoint deadline;
  };

  void answerUnknown(const Pending& pending);

  runtime::ActionQueue& actions_;
  RequestNumbers& numbers_;
  Duration limit_;
  std::optional<runtime::LinkId> upstream_;
  /// By the id upstream; ids rise with time, so that the first one is due first.
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace cometstand::relay
