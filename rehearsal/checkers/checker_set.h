#pragma once

#include "rehearsal/checkers/change_checker.h"
#include "rehearsal/checkers/convergence_checker.h"
#include "rehearsal/checkers/disturbances.h"
#include "rehearsal/checkers/leaving_checker.h"
#include "rehearsal/checkers/operator_checker.h"
#include "rehearsal/checkers/reader_checker.h"
#include "rehearsal/checkers/request_checker.h"
#include "rehearsal/checkers/view_checkers.h"
#include "rehearsal/checkers/violation.h"

namespace cometstand::checkers {

/// Limits of the checks.
struct CheckLimits {
  /// New work may reach a leaving back end for so long.
  Duration leaving = std::chrono::seconds(8);
  /// Relays that read the source at once.
  std::size_t readers = 64;
};

/// All checks of one run.
struct CheckerSet {
  explicit CheckerSet(const CheckLimits& limits)
      : version_order(log),
        references(log),
        same_view(log),
        changes(log),
        requests(log, disturbances),
        leaving(log, disturbances, limits.leaving),
        operators(log),
        readers(log, limits.readers),
        convergence(log) {}

  void finish() {
    changes.finish();
    requests.finish();
    operators.finish();
  }

  ViolationLog log;
  Disturbances disturbances;
  VersionOrderChecker version_order;
  ReferenceChecker references;
  SameViewChecker same_view;
  ChangeChecker changes;
  RequestChecker requests;
  LeavingChecker leaving;
  OperatorChecker operators;
  ReaderChecker readers;
  ConvergenceChecker convergence;
};

}  // namespace cometstand::checkers
