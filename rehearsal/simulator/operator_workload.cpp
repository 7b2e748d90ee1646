#include "rehearsal/simulator/operator_workload.h"

#include <fmt/format.h>

namespace cometstand::simulator {
namespace {

constexpr Duration kCommandLimit = std::chrono::seconds(20);
constexpr double kDeletion = 0.2;
constexpr double kConditional = 0.35;
constexpr double kQuery = 0.1;
/// Share of changes that delete a service from under its route, which is to be refused.
constexpr double kDangling = 0.05;

}  // namespace

std::string operatorToken(const std::string& name) { return "token-of-" + name; }

OperatorWorkload::OperatorWorkload(Fleet& fleet)
    : fleet_(fleet), random_(fleet.random().uniform(0, UINT64_MAX)) {
  const auto& deployment = fleet.deployment();
  for (const auto& tenant : {deployment.tenant, deployment.other_tenant}) {
    for (unsigned number = 1; number <= deployment.operators; ++number) {
      operators_.push_back({fmt::format("operator-{}-{}", tenant, number), tenant});
    }
  }
  for (const auto& each : operators_) {
    fleet.addOperator(each.name, {each.tenant, each.name, operatorToken(each.name)});
  }
}

void OperatorWorkload::start() {
  for (const auto& each : operators_) scheduleNext(each);
}

void OperatorWorkload::scheduleNext(const Operator& who) {
  if (stopped_) return;
  const auto mean = pause_ == Duration::zero() ? fleet_.deployment().change_pause : pause_;
  fleet_.queue().after(random_.uniform(Duration::zero(), 2 * mean), [this, &who] {
    if (!stopped_) act(who);
  });
}

void OperatorWorkload::act(const Operator& who) {
  if (random_.chance(kQuery)) return query(who, false);
  if (random_.chance(kConditional)) return query(who, true);
  change(who, 0);
}

void OperatorWorkload::send(const Operator& who, const std::string& text, bool is_change,
                            std::uint64_t if_version, std::function<void(const CommandResult&)> done) {
  ++in_work_;
  checkers::OperatorCommand command;
  command.is_change = is_change;
  command.if_version = if_version;
  command.invoked = fleet_.queue().now();
  const bool must_complete = expect_completion_;
  auto on_result = [this, command, must_complete,
                    done = std::move(done)](const CommandResult& result) mutable {
    --in_work_;
    command.id = result.request_id;
    command.returned = fleet_.queue().now();
    command.outcome = result.outcome;
    command.error = result.kind;
    command.version = result.version;
    fleet_.checkers().operators.onReturned(command);
    if (must_complete && result.outcome == wire::Outcome::Unknown) {
      fleet_.checkers().log.add("recovery", fleet_.queue().now(),
                                "an operator's command got no outcome although no fault was left");
    }
    done(result);
  };
  fleet_.withOperator(who.name, [text, on_result](OperatorClient& client, TimePoint now) {
    client.submit(text, kCommandLimit, now, on_result);
  });
}

void OperatorWorkload::query(const Operator& who, bool then_change) {
  send(who, "show version", false, 0, [this, &who, then_change](const CommandResult& result) {
    if (!then_change || stopped_ || result.outcome != wire::Outcome::Completed) return scheduleNext(who);
    // The present answer has to be through before the next command goes out.
    fleet_.queue().after(Duration::zero(), [this, &who, version = result.version] { change(who, version); });
  });
}

void OperatorWorkload::change(const Operator& who, std::uint64_t if_version) {
  const checkers::GroupName group{who.tenant,
                                  static_cast<unsigned>(random_.uniform(1, fleet_.deployment().groups))};
  const bool deletion = random_.chance(kDeletion);
  const auto marker = deletion ? next_deletion_++ : next_marker_++;
  const auto& backends = fleet_.backends();
  const auto& target = backends[group.group % backends.size()];
  const auto address = fmt::format("{}:{}", target.address.host, target.address.port);
  auto text = checkers::groupCommand(group, deletion ? 0 : marker, if_version, address, target.zone);
  if (deletion && random_.chance(kDangling / kDeletion)) {
    text = fmt::format("change {{ delete service group-{}; }}", group.group);
  }
  fleet_.checkers().changes.onChangeSent(group, marker);
  send(who, text, true, if_version, [this, &who, group, marker](const CommandResult& result) {
    auto fate = checkers::ChangeFate::Unknown;
    if (result.outcome == wire::Outcome::Completed) fate = checkers::ChangeFate::Accepted;
    if (result.outcome == wire::Outcome::NotRun) fate = checkers::ChangeFate::NotRun;
    if (fate == checkers::ChangeFate::Accepted) ++accepted_;
    fleet_.checkers().changes.onChangeFate(group, marker, fate, result.version);
    scheduleNext(who);
  });
}

}  // namespace cometstand::simulator
