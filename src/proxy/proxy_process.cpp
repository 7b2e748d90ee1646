#include "proxy/proxy_process.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <vector>

namespace cometstand::proxy {

namespace asio = boost::asio;

namespace {

/// Seeds of the two sides differ, so that their choices are independent.
constexpr std::uint64_t kDataPathSeedOffset = 1000;

ControlOptions withSeed(ControlOptions options, std::uint64_t seed) {
  options.seed = seed;
  return options;
}

std::shared_ptr<const Router> routerOf(const view::View& view) {
  std::vector<ObjectPointer> objects;
  objects.reserve(view.objects().size());
  for (const auto& [id, change] : view.objects()) objects.emplace_back(change, change->object.get());
  return std::make_shared<const Router>(objects);
}

}  // namespace

ProxyProcess::ProxyProcess(asio::io_context& io, const ProxySettings& proxy, asio::ssl::context* tls,
                           std::uint64_t seed)
    : io_(io),
      claim_settle_limit_(proxy.claim_settle_limit),
      core_(withSeed(proxy.control, seed), this),
      runner_(io, core_, {{}, proxy.common.data_folder, tls}),
      server_(io, proxy.http, proxy.data_path, seed + kDataPathSeedOffset, *this),
      settle_timer_(io) {}

void ProxyProcess::start() {
  runner_.start();
  server_.start();
}

void ProxyProcess::beginStop() {
  if (stopping_) return;
  stopping_ = true;
  core_.announceStop();
  runner_.flush();
  server_.beginDrain([this] { onDrained(); });
}

/// Nothing is in flight any more. The ends of claims that the store does not confirm in time stay open there
/// and turn to unknown, so that nothing runs twice.
void ProxyProcess::onDrained() {
  settle_timer_.expires_after(claim_settle_limit_);
  settle_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) io_.stop();
  });
  runner_.beginStop();
}

void ProxyProcess::onView(const view::ViewPointer& view) { server_.setRouter(routerOf(*view)); }

void ProxyProcess::onEndpointRecords(const std::vector<EndpointRecordPointer>& records) {
  for (const auto& record : records) server_.applyEndpointRecord(*record);
}

void ProxyProcess::onConnectionShare(std::uint32_t proxies) { server_.setSharingProxies(proxies); }

// The core may answer while it is still being asked; the server wants the answer later.
void ProxyProcess::onClaimAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) {
  asio::post(io_, [this, callback, reply] { server_.onClaimReply(RequestId{callback}, reply); });
}

void ProxyProcess::onStopOrder() {
  asio::post(io_, [this] { beginStop(); });
}

// The data path may ask from within a call of the core, which is not to be called again before it returns.
void ProxyProcess::takeClaim(RequestId request, const wire::ClaimRequestT& claim) {
  asio::post(io_, [this, request, claim] {
    core_.requestClaim(claim, static_cast<std::uint64_t>(request), SteadyClock::now());
    runner_.flush();
  });
}

void ProxyProcess::finishClaim(const wire::ClaimFinishT& finish) {
  asio::post(io_, [this, finish] {
    core_.finishClaim(finish, SteadyClock::now());
    runner_.flush();
  });
}

void ProxyProcess::reportSighting(const wire::EndpointRecordT& record) {
  asio::post(io_, [this, record] {
    core_.reportSighting(record);
    runner_.flush();
  });
}

}  // namespace cometstand::proxy
