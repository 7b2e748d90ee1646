#include "rehearsal/scale/claim_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>

namespace cometstand::rehearsal {

namespace {

constexpr std::uint16_t kStatusOk = 200;
constexpr std::size_t kAnswerBytes = 200;

/// Times beyond this are not kept, so that a long load needs no more memory.
constexpr std::size_t kMaxTimes = 20'000;

}  // namespace

ClaimLoad::ClaimLoad(std::vector<std::unique_ptr<HollowProxy>>& proxies, std::uint64_t seed)
    : proxies_(proxies), random_(seed), seed_(seed) {
  for (auto& proxy : proxies_) {
    proxy->setClaimHandler(
        [this](std::uint64_t callback, const wire::ClaimReplyT& reply) { onAnswer(callback, reply); });
  }
}

void ClaimLoad::setInFlight(std::size_t count) {
  wanted_ = count;
  while (in_flight_.size() < wanted_) takeNext();
}

void ClaimLoad::takeNext() {
  Claim claim;
  claim.proxy = random_.uniform(0, proxies_.size() - 1);
  claim.tenant = proxies_[claim.proxy]->randomTenant(random_);
  claim.asked = SteadyClock::now();
  const auto callback = ++last_callback_;
  claim.key = fmt::format("order-{}-{}", seed_, callback);
  wire::ClaimRequestT request;
  request.tenant = claim.tenant;
  request.key = claim.key;
  request.request_digest = std::make_shared<wire::Digest>(callback, seed_);
  request.attempt = claim.key;
  const auto proxy = claim.proxy;
  in_flight_.emplace(callback, std::move(claim));
  proxies_[proxy]->requestClaim(std::move(request), callback);
}

void ClaimLoad::onAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) {
  const auto found = in_flight_.find(callback);
  if (found == in_flight_.end()) return;
  const Claim claim = std::move(found->second);
  in_flight_.erase(found);
  if (reply.outcome == wire::Outcome::Completed && reply.state == wire::ClaimState::Granted) {
    ++granted_;
    if (times_us_.size() < kMaxTimes) times_us_.push_back((SteadyClock::now() - claim.asked).count());
    wire::ClaimFinishT finish;
    finish.tenant = claim.tenant;
    finish.key = claim.key;
    finish.attempt = claim.key;
    finish.end = wire::ClaimEnd::Completed;
    finish.answer = std::make_shared<wire::RecordedAnswerT>();
    finish.answer->status = kStatusOk;
    finish.answer->content_type = "text/plain";
    finish.answer->body.assign(kAnswerBytes, 'x');
    proxies_[claim.proxy]->finishClaim(std::move(finish));
  } else {
    ++(reply.outcome == wire::Outcome::NotRun ? not_run_ : unknown_);
  }
  if (in_flight_.size() < wanted_) takeNext();
}

boost::json::object ClaimLoad::report() const {
  boost::json::array times;
  for (const auto time : times_us_) times.push_back(time);
  return {{"granted", granted_}, {"not_run", not_run_}, {"unknown", unknown_}, {"times_us", times}};
}

}  // namespace cometstand::rehearsal
