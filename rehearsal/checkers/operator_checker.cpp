#include "rehearsal/checkers/operator_checker.h"

#include <algorithm>
#include <map>

namespace cometstand::checkers {
namespace {

constexpr const char* kCheck = "operator_history";

}  // namespace

std::uint64_t OperatorChecker::newestVersion() const {
  std::uint64_t newest = 0;
  for (const auto& command : commands_) {
    if (command.outcome == wire::Outcome::Completed) newest = std::max(newest, command.version);
  }
  return newest;
}

void OperatorChecker::checkConditions() const {
  for (const auto& command : commands_) {
    if (!command.is_change || command.if_version == 0) continue;
    if (command.outcome == wire::Outcome::Completed && command.version != command.if_version + 1) {
      log_.add(kCheck, command.returned,
               fmt::format("{} on version {} was accepted at version {}", command.id, command.if_version,
                           command.version));
    }
    const bool conflict = command.outcome == wire::Outcome::NotRun && command.error == ErrorKind::Conflict;
    if (conflict && command.version == command.if_version) {
      log_.add(kCheck, command.returned,
               fmt::format("{} on version {} was refused although that is the current version", command.id,
                           command.if_version));
    }
  }
}

void OperatorChecker::checkUnique() const {
  std::map<std::uint64_t, std::string> owners;
  for (const auto& command : commands_) {
    if (!command.is_change || command.outcome != wire::Outcome::Completed) continue;
    const auto [found, is_new] = owners.try_emplace(command.version, command.id);
    if (!is_new) {
      log_.add(kCheck, command.returned,
               fmt::format("{} and {} were both accepted at version {}", found->second, command.id,
                           command.version));
    }
  }
}

/// Whatever returned before a command was called took effect before it.
void OperatorChecker::checkRealTime() {
  std::vector<const OperatorCommand*> by_call;
  std::vector<const OperatorCommand*> by_return;
  for (const auto& command : commands_) {
    if (command.outcome != wire::Outcome::Completed) continue;
    by_call.push_back(&command);
    by_return.push_back(&command);
  }
  std::stable_sort(by_call.begin(), by_call.end(),
                   [](const auto* a, const auto* b) { return a->invoked < b->invoked; });
  std::stable_sort(by_return.begin(), by_return.end(),
                   [](const auto* a, const auto* b) { return a->returned < b->returned; });
  std::uint64_t floor = 0;
  std::size_t returned = 0;
  for (const auto* command : by_call) {
    while (returned < by_return.size() && by_return[returned]->returned < command->invoked) {
      floor = std::max(floor, by_return[returned++]->version);
    }
    const bool stale = command->is_change ? command->version <= floor : command->version < floor;
    if (stale) {
      log_.add(kCheck, command->returned,
               fmt::format("{} took effect at version {}, but {} was known before", command->id,
                           command->version, floor));
    }
  }
}

void OperatorChecker::finish() {
  checkConditions();
  checkUnique();
  checkRealTime();
}

}  // namespace cometstand::checkers
