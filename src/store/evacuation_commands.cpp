#include "store/evacuation_commands.h"

#include <fmt/format.h>

#include "base/error.h"
#include "store/log_writer.h"
#include "store/queries.h"

namespace cometstand::store {
namespace {

wire::CommandReplyT replyTo(const StateMachine& state, const wire::EvacuationOrderT& order,
                            const EvacuationAnswer& answer) {
  switch (answer.kind) {
    case EvacuationAnswerKind::Done:
      return makeTable(state.catalog().version(), {"zone", "state"},
                       {{order.zone, order.is_evacuated ? "evacuated" : "in use"}});
    case EvacuationAnswerKind::UnknownZone:
      return notRunReply<wire::CommandReplyT>(Error(ErrorKind::NotFound,
                                                    fmt::format("zone {} is not known", order.zone),
                                                    "name a zone of the setting store.zones"));
    case EvacuationAnswerKind::NotLeader:
      return notRunReply<wire::CommandReplyT>(
          Error(ErrorKind::Unavailable, "this replica does not lead any more", "send the command again"));
    case EvacuationAnswerKind::Unknown:
      break;
  }
  return unknownOutcomeReply<wire::CommandReplyT>(Error(
      ErrorKind::Unknown, "whether the order took effect is not known, or the zone was changed a moment ago",
      "see show evacuations, and send the command again"));
}

}  // namespace

void runEvacuationCommand(StoreContext& context, EvacuationService& service, const Requester& requester,
                          const wire::EvacuationOrderT& order, TimePoint now) {
  const auto answer = [&context, requester, order](const EvacuationAnswer& result) {
    sendReply(context, requester, replyTo(context.state, order, result));
  };
  service.order(order, answer, now);
}

wire::CommandReplyT showEvacuations(const StateMachine& state) {
  std::vector<std::vector<std::string>> rows;
  for (const auto& [zone, record] : state.evacuations().all()) {
    rows.push_back({zone, record->is_evacuated ? "evacuated" : "in use", std::to_string(record->number)});
  }
  return makeTable(state.catalog().version(), {"zone", "state", "number"}, rows);
}

}  // namespace cometstand::store
