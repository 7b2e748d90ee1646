#pragma once

#include <string>
#include <vector>

#include "broken_responses/faulty_targets.h"

namespace cometstand::platform {

/// One way in which a target in trouble answers, of which nothing may reach a caller.
struct BrokenForm {
  std::string name;
  ScriptMaker script;
};

/// @return a form of every kind: broken heads, lengths, chunks and codings, cut and endless ones, and bytes
/// that are no response. Each body that is none says kBrokenBody.
const std::vector<BrokenForm>& allBrokenForms();

inline constexpr const char* kBrokenBody = "broken";

}  // namespace cometstand::platform
