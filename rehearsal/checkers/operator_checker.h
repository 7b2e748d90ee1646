#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "rehearsal/checkers/violation.h"
#include "schema/control_generated.h"

namespace cometstand::checkers {

/// One command of an operator, resends included.
struct OperatorCommand {
  std::string id;
  bool is_change = false;
  /// 0 for none.
  std::uint64_t if_version = 0;
  TimePoint invoked;
  TimePoint returned;
  wire::Outcome outcome = wire::Outcome::Unknown;
  ErrorKind error = ErrorKind::None;
  std::uint64_t version = 0;
};

/// The history of all operators' commands is linearizable over one register, the version: changes take effect
/// one by one between their call and their answer; a query shows no older version than any answer before it;
/// of racing changes on one version, one is accepted.
class OperatorChecker {
 public:
  explicit OperatorChecker(ViolationLog& log) : log_(log) {}

  void onReturned(const OperatorCommand& command) { commands_.push_back(command); }
  void finish();

  /// @return the highest version that any answer named.
  std::uint64_t newestVersion() const;

 private:
  void checkConditions() const;
  void checkUnique() const;
  void checkRealTime();

  ViolationLog& log_;
  std::vector<OperatorCommand> commands_;
};

}  // namespace cometstand::checkers
