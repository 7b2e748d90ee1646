#include "planned_stop/full_link.h"

#include "base/event_log.h"
#include "net/frame_codec.h"

namespace cometstand::sidecar::test {
namespace {

constexpr std::uint32_t kAnswerCredit = 8'192;
/// Sizes of answers, drawn evenly: some are collected whole, some are passed on in parts.
constexpr std::size_t kSmallestAnswer = 20'000;
constexpr std::size_t kLargestAnswer = 400'000;
constexpr unsigned kSlots = 100;
constexpr Duration kBeatInterval = std::chrono::seconds(1);
constexpr std::uint32_t kTimeout = 10'000;
constexpr std::uint32_t kObjective = 1'500;

SidecarOptions makeStreamingOptions() {
  auto options = SidecarFixture::makeOptions();
  options.answer_credit = kAnswerCredit;
  return options;
}

SidecarOptions makeGateOptions() {
  auto options = makeStreamingOptions();
  options.advertise = SidecarFixture::kPeer;
  return options;
}

wire::MeshConfigurationT makeSlowConfiguration() {
  auto configuration = SidecarFixture::makeConfiguration();
  for (auto& route : configuration.routes) {
    route->timeout_ms = kTimeout;
    route->objective_ms = kObjective;
  }
  return configuration;
}

/// The size travels in the path, so that both ends of the test know it.
std::string pathOf(std::size_t bytes) { return "/read/" + std::to_string(bytes); }
std::size_t bytesOf(const std::string& path) { return std::stoul(path.substr(pathOf(0).size() - 1)); }

}  // namespace

void CountingCallers::answer(CallId id, CallAnswer answer) {
  switch (answer.outcome) {
    case CallOutcome::Answered:
      ++(answer.reply.body.size() == expected_bytes.at(id) ? account.answered : account.cut);
      return;
    case CallOutcome::NotRun:
    case CallOutcome::NoRoute:
    case CallOutcome::Quarantined:
    case CallOutcome::UnknownKey:
    case CallOutcome::OverQuota:
      ++account.refused;
      if (ran[id]) ++account.refused_though_run;
      return;
    case CallOutcome::Failed:
    case CallOutcome::TimedOut:
      ++account.failed;
      return;
  }
}

void CountingCallers::beginAnswer(CallId id, const wire::ForwardReplyT& head) {
  begun_[id] = head.body.size();
  read_.emplace_back(id, head.body.size());
}

void CountingCallers::continueAnswer(CallId id, const std::vector<std::uint8_t>& bytes, wire::BodyEnd end) {
  begun_.at(id) += bytes.size();
  read_.emplace_back(id, bytes.size());
  if (end == wire::BodyEnd::Open) return;
  const bool is_whole = end == wire::BodyEnd::Whole && begun_.at(id) == expected_bytes.at(id);
  ++(is_whole ? account.answered : account.cut);
  begun_.erase(id);
}

FullLink::FullLink(std::uint64_t seed, std::size_t requesters, double load, std::size_t connection_window)
    : random_(seed), load_(load), connection_window_(connection_window), gate_(makeGateOptions()) {
  setLogLevel(LogLevel::Error);
  gate_.configure(1, makeSlowConfiguration());
  for (std::size_t i = 0; i < requesters; ++i) {
    auto& requester = *requesters_.emplace_back(std::make_unique<Requester>());
    requester.sidecar = std::make_unique<SidecarFixture>(makeStreamingOptions(), requester.callers);
    requester.sidecar->configure(1, makeSlowConfiguration());
    requester.sidecar->addPeer(SidecarFixture::kPeer);
    gate_.core.onLinkOpened(linkOf(i), {}, gate_.now);
  }
  now_ = gate_.now;
  beat();
}

void FullLink::beat() {
  next_beat_ = now_ + kBeatInterval;
  wire::StoreBeatT from_store;
  from_store.is_current = true;
  from_store.revision = 1;
  for (auto& requester : requesters_) {
    if (!requester->gone) requester->sidecar->deliver(SidecarFixture::kStore, from_store);
  }
  if (gate_gone_ || isGatePaused()) return;
  gate_.deliver(SidecarFixture::kStore, from_store);
  auto from_target = SidecarFixture::makeHeartbeat("a", ++beats_);
  from_target.slots = kSlots;
  gate_.core.onHeartbeat(from_target, now_);
}

runtime::LinkId FullLink::linkOf(std::size_t requester) const {
  const std::uint64_t connection = requester < requesters_.size() ? requesters_[requester]->connection : 0;
  return runtime::LinkId{runtime::kFirstIncomingLink + connection * requesters_.size() + requester};
}

void FullLink::disconnectRequester(std::size_t requester) { requesters_.at(requester)->is_cut = true; }

void FullLink::resetLink(std::size_t index) {
  auto& requester = *requesters_.at(index);
  if (requester.gone || gate_gone_) return;
  gate_.core.onLinkClosed(linkOf(index), now_);
  requester.queued.clear();
  requester.under_way = 0;
  ++requester.connection;
  gate_.core.onLinkOpened(linkOf(index), {}, now_);
  auto& sidecar = *requester.sidecar;
  sidecar.core.onLinkClosed(sidecar.links.at(SidecarFixture::kPeer), now_);
  sidecar.step();
}

/// What was sent to a machine that is cut off has no answer.
void FullLink::endUnansweredLinks() {
  for (std::size_t i = 0; i < requesters_.size(); ++i) {
    auto& requester = *requesters_[i];
    if (!requester.is_cut || requester.gone) continue;
    if (!requester.unanswered_since && requester.under_way > 0) requester.unanswered_since = now_;
    if (!requester.unanswered_since || now_ < *requester.unanswered_since + kUnansweredTime) continue;
    requester.gone = true;
    requester.queued.clear();
    if (!gate_gone_) gate_.core.onLinkClosed(linkOf(i), now_);
  }
}

void FullLink::sayToGate(runtime::LinkId link, const runtime::MessagePointer& message) {
  if (gate_gone_) return;
  if (isGatePaused()) {
    held_.push_back({link, message});
  } else {
    gate_.core.onMessage(link, *message, now_);
  }
}

void FullLink::resumeGate() {
  if (isGatePaused()) return;
  for (const auto& item : std::exchange(held_, {})) sayToGate(item.link, item.message);
}

void FullLink::runFor(Duration time) {
  for (const TimePoint end = now_ + time; now_ < end;) tick();
}

void FullLink::stopRequester(std::size_t requester) {
  requesters_.at(requester)->sidecar->core.beginStop(now_);
}

void FullLink::stopGate() {
  gate_stop_began_ = now_;
  gate_.core.beginStop(now_);
}

void FullLink::tick() {
  now_ += kTick;
  gate_.now = now_;
  resumeGate();
  if (!gate_gone_ && !isGatePaused()) gate_.core.onTimer(now_);
  for (auto& requester : requesters_) {
    requester->sidecar->now = now_;
    if (!requester->gone) requester->sidecar->core.onTimer(now_);
  }
  if (now_ >= next_beat_) beat();
  endUnansweredLinks();
  askMore();
  carryAnswers();
  readAnswers();
  carryRequests();
  startRuns();
  endRuns();
  noteEnds();
}

/// Callers ask at all sidecars alike; those of one that is gone ask nothing.
void FullLink::askMore() {
  bytes_due_ += load_ * kBytesPerSecond * std::chrono::duration<double>(kTick).count();
  while (bytes_due_ > 0) {
    const auto bytes = static_cast<std::size_t>(random_.uniform(kSmallestAnswer, kLargestAnswer));
    bytes_due_ -= static_cast<double>(bytes);
    auto& requester = *requesters_.at(random_.uniform(0, requesters_.size() - 1));
    if (requester.gone || requester.is_cut) continue;
    Call call;
    call.host = "shop.example";
    call.request.target = pathOf(bytes);
    call.request.method = "GET";
    call.accepts_streaming = true;
    const CallId id{++next_call_};
    call.request.request_id = std::to_string(next_call_);
    requester.callers.expected_bytes[id] = bytes;
    ++requester.callers.account.sent;
    requester.sidecar->core.onCall(id, std::move(call), now_);
  }
}

void FullLink::carryRequests() {
  for (std::size_t i = 0; i < requesters_.size(); ++i) {
    auto& sidecar = *requesters_[i]->sidecar;
    if (requesters_[i]->gone) continue;
    sidecar.step();
    const auto link = sidecar.links.at(SidecarFixture::kPeer);
    for (const auto& item : std::exchange(sidecar.sent, {})) {
      if (item.link == link && !requesters_[i]->is_cut) sayToGate(linkOf(i), item.message);
    }
  }
}

void FullLink::startRuns() {
  gate_.step();
  for (const auto& order : std::exchange(gate_.target.orders, {})) {
    runs_.push_back({now_ + kRunTime, order.id, bytesOf(order.request->target)});
    for (auto& requester : requesters_) {
      const CallId id{std::stoull(order.request->request_id)};
      if (requester->callers.expected_bytes.contains(id)) requester->callers.ran[id] = true;
    }
  }
}

void FullLink::endRuns() {
  while (!isGatePaused() && !runs_.empty() && runs_.front().ends <= now_) {
    RunResult result;
    result.reply.outcome = wire::ForwardOutcome::Answered;
    result.reply.status = 200;
    result.reply.body.resize(runs_.front().bytes);
    if (!gate_gone_) gate_.core.onRunResult(runs_.front().id, std::move(result), now_);
    runs_.pop_front();
  }
  gate_.step();
  for (const auto& item : std::exchange(gate_.sent, {})) {
    const auto link = static_cast<std::uint64_t>(item.link);
    if (const auto* update = item.message->body.AsEndpointUpdate()) tellRequesters(*update);
    if (link < runtime::kFirstIncomingLink) continue;
    const std::size_t requester = (link - runtime::kFirstIncomingLink) % requesters_.size();
    if (item.link != linkOf(requester)) continue;
    requesters_.at(requester)->queued.push_back(item.message);
    pump(requester);
  }
}

void FullLink::pump(std::size_t index) {
  auto& requester = *requesters_.at(index);
  while (!requester.queued.empty() && requester.under_way < connection_window_) {
    const auto message = std::move(requester.queued.front());
    requester.queued.pop_front();
    const std::size_t bytes = net::encodeFrame(*message).size();
    const std::chrono::duration<double> time(static_cast<double>(bytes) / kBytesPerSecond);
    link_free_at_ = std::max(link_free_at_, now_) + std::chrono::duration_cast<Duration>(time);
    requester.under_way += bytes;
    answers_.push_back({link_free_at_, index, requester.connection, bytes, message});
  }
}

/// The store passes on at once what the gate says of its endpoint.
void FullLink::tellRequesters(const wire::EndpointUpdateT& update) {
  for (auto& requester : requesters_) {
    if (!requester->gone) requester->sidecar->deliver(SidecarFixture::kStore, update);
  }
}

void FullLink::carryAnswers() {
  while (!answers_.empty() && answers_.front().arrives <= now_) {
    const Frame frame = std::move(answers_.front());
    answers_.pop_front();
    auto& requester = *requesters_.at(frame.requester);
    if (requester.is_cut || frame.connection != requester.connection) continue;
    if (!requester.gone) {
      requester.sidecar->core.onMessage(requester.sidecar->links.at(SidecarFixture::kPeer), *frame.message,
                                        now_);
    }
    requester.under_way -= frame.bytes;
    pump(frame.requester);
  }
}

void FullLink::readAnswers() {
  for (auto& requester : requesters_) {
    for (const auto& [id, bytes] : requester->callers.takeRead())
      requester->sidecar->core.onCallerRead(id, bytes, now_);
  }
}

/// A sidecar that is gone closes its links.
void FullLink::noteEnds() {
  for (std::size_t i = 0; i < requesters_.size(); ++i) {
    if (requesters_[i]->gone || requesters_[i]->is_cut || !requesters_[i]->sidecar->core.stopped()) continue;
    requesters_[i]->gone = true;
    gate_.core.onLinkClosed(linkOf(i), now_);
  }
  // What was sent before is still on its way.
  gate_gone_ = gate_gone_ || (!isGatePaused() && gate_.core.stopped());
  if (gate_gone_ && answers_.empty() && !std::exchange(gate_links_ended_, true)) {
    gate_ended_at_ = now_;
    endGateLinks();
  }
}

void FullLink::endGateLinks() {
  for (auto& requester : requesters_) {
    if (requester->gone) continue;
    auto& sidecar = *requester->sidecar;
    sidecar.core.onLinkClosed(sidecar.links.at(SidecarFixture::kPeer), now_);
  }
}

}  // namespace cometstand::sidecar::test
