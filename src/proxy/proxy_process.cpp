#include "proxy/proxy_process.h"

#include <boost/asio/post.hpp>
#include <utility>
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

ProxyProcess::ProxyProcess(const ProxySettings& settings, std::uint64_t seed)
    : settings_(settings), seed_(seed), core_(withSeed(settings.control, seed), this) {}

void ProxyProcess::attach(asio::io_context& io, runtime::ProcessRunner& runner,
                          std::function<void()> on_stop_order) {
  io_ = &io;
  runner_ = &runner;
  on_stop_order_ = std::move(on_stop_order);
  ClaimService& claims = *this;
  server_ = std::make_unique<HttpServer>(io, settings_.http, settings_.data_path, seed_ + kDataPathSeedOffset,
                                         claims);
  settle_timer_ = std::make_unique<asio::steady_timer>(io);
}

void ProxyProcess::drain(std::function<void()> done) {
  core_.announceStop();
  runner_->flush();
  server_->beginDrain([this, done = std::move(done)] {
    // Ends of claims that the store does not confirm stay open there and turn to unknown: nothing runs twice.
    settle_timer_->expires_after(settings_.claim_settle_limit);
    settle_timer_->async_wait([this](boost::system::error_code error) {
      if (!error) io_->stop();
    });
    done();
  });
}

void ProxyProcess::onView(const view::ViewPointer& view) { server_->setRouter(routerOf(*view)); }

void ProxyProcess::onEndpointRecords(const std::vector<EndpointRecordPointer>& records) {
  for (const auto& record : records) server_->applyEndpointRecord(*record);
}

void ProxyProcess::onConnectionShare(std::uint32_t proxies) { server_->setSharingProxies(proxies); }

// The core may answer while it is still being asked; the server wants the answer later.
void ProxyProcess::onClaimAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) {
  asio::post(*io_, [this, callback, reply] { server_->onClaimReply(RequestId{callback}, reply); });
}

// The data path may ask from within a call of the core, which is not to be called again before it returns.
void ProxyProcess::takeClaim(RequestId request, const wire::ClaimRequestT& claim) {
  asio::post(*io_, [this, request, claim] {
    core_.requestClaim(claim, static_cast<std::uint64_t>(request), SteadyClock::now());
    runner_->flush();
  });
}

void ProxyProcess::finishClaim(const wire::ClaimFinishT& finish) {
  asio::post(*io_, [this, finish] {
    core_.finishClaim(finish, SteadyClock::now());
    runner_->flush();
  });
}

void ProxyProcess::reportSighting(const wire::EndpointRecordT& record) {
  asio::post(*io_, [this, record] {
    core_.reportSighting(record);
    runner_->flush();
  });
}

}  // namespace cometstand::proxy
