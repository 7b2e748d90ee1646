#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace cometstand::checkers {

/// One breach of what must always hold.
struct Violation {
  /// The name of the check.
  std::string check;
  TimePoint when;
  /// What was seen and what was promised.
  std::string text;
};

/// Where the checkers of one run put what they find.
class ViolationLog {
 public:
  void add(std::string_view check, TimePoint when, std::string text) {
    ++count_;
    if (first_.size() < kMaxKept) first_.push_back({std::string(check), when, std::move(text)});
  }

  bool empty() const { return count_ == 0; }
  std::size_t count() const { return count_; }
  /// The first ones; later ones are only counted.
  const std::vector<Violation>& first() const { return first_; }

 private:
  static constexpr std::size_t kMaxKept = 50;
  std::size_t count_ = 0;
  std::vector<Violation> first_;
};

}  // namespace cometstand::checkers
