#include "mesh_soak/target_faults.h"

#include "broken_responses/broken_forms.h"

namespace cometstand::platform {
namespace {

using std::chrono::milliseconds;

constexpr Duration kShortestTrouble = milliseconds(200);
constexpr Duration kLongestTrouble = milliseconds(2'000);
constexpr Duration kLongestPause = milliseconds(600);
/// One of so many requests gets a broken response, at the least.
constexpr std::uint64_t kRarest = 8;

}  // namespace

void TargetFaults::begin(Duration time) {
  end_ = SteadyClock::now() + time;
  for (std::size_t series = 0; series < kOverlapping; ++series) disturbNext();
}

void TargetFaults::disturbNext() {
  if (SteadyClock::now() >= end_) return;
  ++count_;
  const auto target = random_.uniform(std::uint64_t{0}, target_count_ - 1);
  const auto& forms = allBrokenForms();
  const auto form = random_.uniform(std::uint64_t{0}, forms.size() - 1);
  targets_.disturb(target, forms.at(form).script, random_.uniform(std::uint64_t{1}, kRarest));
  schedule_.after(random_.uniform(kShortestTrouble, kLongestTrouble), [this, target] {
    targets_.calm(target);
    schedule_.after(random_.uniform(Duration::zero(), kLongestPause), [this] { disturbNext(); });
  });
}

}  // namespace cometstand::platform
