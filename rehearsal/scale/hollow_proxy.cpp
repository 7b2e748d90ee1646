#include "rehearsal/scale/hollow_proxy.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "runtime/process_runner.h"

namespace cometstand::rehearsal {

namespace asio = boost::asio;
using boost::system::error_code;
using runtime::LinkId;

namespace {

/// A core whose timer is due at once is still called at most this often.
constexpr Duration kMinimumTimerDelay = std::chrono::microseconds(200);

}  // namespace

HollowProxy::HollowProxy(asio::io_context& io, proxy::ControlOptions options, InForceTracker& tracker,
                         HollowCounters& counters)
    : io_(io), options_(std::move(options)), tracker_(tracker), counters_(counters), timer_(io) {}

void HollowProxy::start() {
  proxy::ControlListener& listener = *this;
  core_ = std::make_unique<proxy::ControlCore>(options_, &listener);
  core_->start(folder_, SteadyClock::now());
  flush();
}

void HollowProxy::restart(bool keep_disk) {
  ++life_;
  for (auto& [id, open] : links_) {
    countBytes(open);
    open.link->close("the hollow proxy died");
  }
  links_.clear();
  timer_.cancel();
  armed_at_ = TimePoint::max();
  if (!keep_disk) folder_.clear();
  ++options_.incarnation;
  // Another draw of pauses in each life.
  options_.seed += 1'000'000;
  recovering_ = true;
  start();
}

bool HollowProxy::sightLeaving(std::uint64_t choice) {
  if (!connected()) return false;
  const auto records = core_->endpointRecords();
  if (records.empty()) return false;
  auto seen = *records[choice % records.size()];
  if (seen.state >= wire::EndpointState::Leaving) return false;
  seen.state = wire::EndpointState::Leaving;
  core_->reportSighting(std::move(seen));
  flush();
  return true;
}

void HollowProxy::onView(const view::ViewPointer& view) {
  if (view->version() < highest_view_) ++counters_.views_moved_back;
  // A view that was in force before, found again on disk, is not a change.
  if (view->version() <= highest_view_) return;
  highest_view_ = view->version();
  ++counters_.views_in_force;
  tracker_.onApplied(view->version(), SteadyClock::now());
}

void HollowProxy::onEndpointRecords(const std::vector<proxy::EndpointRecordPointer>& records) {
  counters_.endpoint_records += records.size();
}

void HollowProxy::requestClaim(wire::ClaimRequestT request, std::uint64_t callback) {
  core_->requestClaim(std::move(request), callback, SteadyClock::now());
  flush();
}

void HollowProxy::finishClaim(wire::ClaimFinishT finish) {
  core_->finishClaim(std::move(finish), SteadyClock::now());
  flush();
}

std::string HollowProxy::randomTenant(RandomSource& random) const {
  const auto view = core_->currentView();
  const auto* node = view->node();
  if (node == nullptr || node->tenants.empty()) return {};
  return node->tenants[random.uniform(0, node->tenants.size() - 1)];
}

/// The handler may ask for the next claim of this proxy, so it is called once the core is left.
void HollowProxy::onClaimAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) {
  if (!claim_handler_) return;
  asio::post(io_, [this, callback, reply] { claim_handler_(callback, reply); });
}

void HollowProxy::flush() {
  auto actions = core_->takeActions();
  for (auto& order : actions.writes) write(std::move(order));
  for (const auto& order : actions.connects) openLink(order);
  for (const auto& outgoing : actions.messages) {
    const auto found = links_.find(outgoing.link);
    if (found == links_.end()) continue;
    ++counters_.messages_sent;
    found->second.link->send(*outgoing.message);
  }
  for (const LinkId id : actions.closes) {
    const auto found = links_.find(id);
    if (found != links_.end()) found->second.link->closeAfterWrites();
  }
  noteAsOf(SteadyClock::now());
  armTimer();
}

void HollowProxy::openLink(const runtime::ConnectOrder& order) {
  auto link = std::make_shared<net::Link>(asio::ip::tcp::socket(io_), nullptr, handlersFor(order.link));
  links_.emplace(order.link, OpenLink{link, 0, 0});
  link->connect(order.address, runtime::kConnectTimeLimit,
                [this, life = life_, id = order.link](const runtime::PeerIdentity& peer) {
                  if (!isOpen(life, id)) return;
                  ++counters_.links_opened;
                  core_->onLinkOpened(id, peer, SteadyClock::now());
                  flush();
                });
}

net::LinkHandlers HollowProxy::handlersFor(LinkId id) {
  net::LinkHandlers handlers;
  handlers.on_message = [this, life = life_, id](const wire::EnvelopeT& envelope) {
    if (!isOpen(life, id)) return;
    ++counters_.messages_received;
    countBytes(links_.at(id));
    core_->onMessage(id, envelope, SteadyClock::now());
    flush();
  };
  handlers.on_closed = [this, life = life_, id](const std::string&) {
    if (!isOpen(life, id)) return;
    countBytes(links_.at(id));
    links_.erase(id);
    core_->onLinkClosed(id, SteadyClock::now());
    flush();
  };
  return handlers;
}

bool HollowProxy::isOpen(std::uint64_t life, LinkId id) const { return life == life_ && links_.contains(id); }

void HollowProxy::write(runtime::FileWrite order) {
  ++counters_.file_writes;
  counters_.file_bytes += order.bytes.size();
  const auto id = order.id;
  folder_.apply(std::move(order));
  asio::post(io_, [this, life = life_, id] {
    if (life != life_) return;
    core_->onFileWritten(id, SteadyClock::now());
    flush();
  });
}

void HollowProxy::countBytes(OpenLink& open) {
  const auto sent = open.link->bytesSent();
  const auto received = open.link->bytesReceived();
  counters_.bytes_sent += sent - open.counted_sent;
  counters_.bytes_received += received - open.counted_received;
  open.counted_sent = sent;
  open.counted_received = received;
}

void HollowProxy::noteAsOf(TimePoint now) {
  const auto as_of = core_->asOf();
  if (as_of > tracked_as_of_) {
    tracker_.onAsOf(tracked_as_of_, as_of, now);
    tracked_as_of_ = as_of;
  }
  if (recovering_ && core_->connected() && core_->ready()) {
    recovering_ = false;
    ++counters_.recovered;
    counters_.recovered_last = now;
  }
}

/// Leaves a timer that is armed too early as it is: it looks again when it fires.
void HollowProxy::armTimer() {
  const TimePoint due = core_->nextTimer();
  if (due >= armed_at_) return;
  armed_at_ = due;
  timer_.expires_after(std::max(due - SteadyClock::now(), kMinimumTimerDelay));
  timer_.async_wait([this, life = life_](error_code error) {
    if (error || life != life_) return;
    armed_at_ = TimePoint::max();
    const auto now = SteadyClock::now();
    if (core_->nextTimer() <= now) core_->onTimer(now);
    flush();
  });
}

}  // namespace cometstand::rehearsal
