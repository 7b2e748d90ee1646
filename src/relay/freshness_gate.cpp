#include "relay/freshness_gate.h"

#include <utility>

namespace cometstand::relay {

void FreshnessGate::ask(Asker asker, TimePoint now) {
  waiting_.push_back(asker);
  if (request_id_ == 0) send(now);
}

void FreshnessGate::send(TimePoint now) {
  asked_.insert(asked_.end(), waiting_.begin(), waiting_.end());
  waiting_.clear();
  request_id_ = 0;
  if (!upstream_ || asked_.empty()) return;
  request_id_ = numbers_.next();
  sent_at_ = now;
  actions_.send(*upstream_, wire::FreshnessRequestT(), request_id_);
}

std::vector<FreshnessGate::Asker> FreshnessGate::onAnswer(std::uint64_t request_id, TimePoint now) {
  if (request_id == 0 || request_id != request_id_) return {};
  auto satisfied = std::exchange(asked_, {});
  send(now);
  return satisfied;
}

void FreshnessGate::onUpstreamReady(runtime::LinkId link, TimePoint now) {
  upstream_ = link;
  send(now);
}

void FreshnessGate::forget(runtime::LinkId link) {
  const auto is_of_link = [&](const Asker& asker) { return asker.link == link; };
  std::erase_if(asked_, is_of_link);
  std::erase_if(waiting_, is_of_link);
}

void FreshnessGate::onTimer(TimePoint now) {
  if (nextTimer() <= now) send(now);
}

TimePoint FreshnessGate::nextTimer() const {
  return upstream_ && request_id_ != 0 ? sent_at_ + retry_ : TimePoint::max();
}

}  // namespace cometstand::relay
