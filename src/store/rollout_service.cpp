#include "store/rollout_service.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "mesh/configuration.h"
#include "store/events.h"

namespace cometstand::store {
namespace {

/// An order equal to the service's previous one counts as a duplicate of it within this time. Operators
/// resend an order that got no response for a few seconds only; see docs/design/rollouts.md.
constexpr Duration kDuplicateOrderWindow = std::chrono::seconds(10);

}  // namespace

RolloutAnswer RolloutService::notLeader() const {
  RolloutAnswer answer;
  answer.kind = RolloutAnswerKind::NotLeader;
  answer.leader = context_.remoteLeader();
  return answer;
}

RolloutAnswer RolloutService::answerOf(const CommandResult* result, const std::string& service) const {
  RolloutAnswer answer;
  const auto* outcome = result == nullptr ? nullptr : std::get_if<RolloutResult>(result);
  if (outcome == nullptr) return answer;
  answer.kind = *outcome == RolloutResult::Accepted ? RolloutAnswerKind::Done : RolloutAnswerKind::Conflict;
  answer.rollout = context_.state.rollouts().find(service);
  return answer;
}

bool RolloutService::isConfigured(const std::string& service) const {
  const auto& bytes = context_.state.mesh().configuration();
  if (bytes.empty()) return false;
  const auto configuration = mesh::decodeConfiguration(bytes);
  return std::any_of(configuration.services.begin(), configuration.services.end(),
                     [&service](const auto& known) { return known->name == service; });
}

void RolloutService::order(wire::RolloutOrderT order, const RolloutAnswerHandler& handler, TimePoint now) {
  if (!context_.isLeader()) {
    handler(notLeader());
    return;
  }
  if (!isConfigured(order.service)) {
    handler({RolloutAnswerKind::NotFound, nullptr, std::nullopt});
    return;
  }
  order.may_repeat = clock_.elapsed(order.service, now) < kDuplicateOrderWindow;
  logEvent(kRolloutOrdered, {{"service", order.service},
                             {"version", order.version},
                             {"duration_ms", order.duration_ms},
                             {"may_repeat", order.may_repeat}});
  const auto on_applied = [this, handler, service = order.service](const CommandResult* result) {
    handler(answerOf(result, service));
  };
  if (!proposals_.propose(std::move(order), on_applied, now)) handler(notLeader());
}

void RolloutService::read(const std::string& service, RolloutAnswerHandler handler, TimePoint now) {
  if (!context_.isLeader()) {
    handler(notLeader());
    return;
  }
  context_.reads.requestRead(
      [this, service, handler = std::move(handler)](bool confirmed, TimePoint) {
        if (!confirmed) {
          handler(notLeader());
          return;
        }
        const auto rollout = context_.state.rollouts().find(service);
        const auto kind = rollout == nullptr ? RolloutAnswerKind::NotFound : RolloutAnswerKind::Done;
        handler({kind, rollout, std::nullopt});
      },
      now);
}

}  // namespace cometstand::store
