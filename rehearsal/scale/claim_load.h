#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/random.h"
#include "rehearsal/scale/hollow_proxy.h"

namespace cometstand::rehearsal {

/// A steady number of claims in flight from the hollow proxies of one process. A claim that is granted is
/// finished at once with a small recorded answer, as after a request that ran; then another proxy takes the
/// next claim.
class ClaimLoad {
 public:
  /// @param proxies must outlive the load.
  ClaimLoad(std::vector<std::unique_ptr<HollowProxy>>& proxies, std::uint64_t seed);

  /// Sets how many claims are to be in flight; 0 takes no new ones.
  void setInFlight(std::size_t count);

  /// @return how many claims had which answer, and how long they took, in microseconds.
  boost::json::object report() const;

 private:
  struct Claim {
    std::size_t proxy = 0;
    std::string tenant;
    std::string key;
    TimePoint asked;
  };

  void takeNext();
  void onAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply);

  std::vector<std::unique_ptr<HollowProxy>>& proxies_;
  RandomSource random_;
  std::uint64_t seed_;
  std::size_t wanted_ = 0;
  std::uint64_t last_callback_ = 0;
  std::map<std::uint64_t, Claim> in_flight_;
  std::uint64_t granted_ = 0;
  std::uint64_t not_run_ = 0;
  std::uint64_t unknown_ = 0;
  /// Of granted claims.
  std::vector<std::int64_t> times_us_;
};

}  // namespace cometstand::rehearsal
