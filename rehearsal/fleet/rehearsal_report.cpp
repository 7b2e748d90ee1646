#include "rehearsal/fleet/rehearsal_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace cometstand::rehearsal {

namespace {

/// Violations printed of one outcome.
constexpr std::size_t kShownViolations = 5;

void printLine(const std::string& line) {
  fmt::print("{}\n", line);
  std::fflush(stdout);
}

}  // namespace

void RehearsalReport::step(const std::string& text) { printLine("-- " + text); }

void RehearsalReport::expect(bool held, const std::string& outcome) {
  printLine(fmt::format("   {} {}", held ? "held  " : "BROKEN", outcome));
  if (held) {
    ++held_;
  } else {
    broken_.push_back(outcome);
  }
}

void RehearsalReport::expectNone(const Violations& violations, const std::string& outcome) {
  expect(violations.empty(), outcome);
  const std::size_t shown = std::min(violations.size(), kShownViolations);
  for (std::size_t index = 0; index < shown; ++index) printLine("          " + violations[index]);
  if (violations.size() > shown) printLine(fmt::format("          ... {} in all", violations.size()));
}

void RehearsalReport::finish() const {
  printLine(fmt::format("{} outcomes held, {} broken", held_, broken_.size()));
  for (const auto& outcome : broken_) printLine("broken: " + outcome);
}

}  // namespace cometstand::rehearsal
