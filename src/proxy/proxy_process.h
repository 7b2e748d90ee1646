#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>

#include "proxy/claim_service.h"
#include "proxy/control_core.h"
#include "proxy/http_server.h"
#include "proxy/proxy_settings.h"
#include "runtime/process_runner.h"

namespace cometstand::proxy {

/// A whole proxy: joins the control core, which follows a relay, with the HTTP side, which serves callers.
/// Views become routers; endpoint records and connection shares go to the balancer; claims and sightings go
/// the other way. All on the io_context's one thread. Must live until the io_context has stopped running.
class ProxyProcess : private ControlListener, private ClaimService {
 public:
  /// @param proxy as completeProxyOptions() left them.
  /// @param tls nullptr for plain TCP; must outlive the process.
  /// @throw Error(InputOutput) if the address or the data folder cannot be used.
  ProxyProcess(boost::asio::io_context& io, const ProxySettings& proxy, boost::asio::ssl::context* tls,
               std::uint64_t seed);

  /// Recovers the stored view, follows a relay, and accepts callers. Until a view is in force, callers are
  /// refused with a time to come back.
  /// @throw Error(InputOutput) if the stored view cannot be read.
  void start();

  /// Begins a planned stop: tells the relay, finishes what is in flight, settles claims, then stops the
  /// io_context. May be called twice.
  void beginStop();

  /// @return true once a view is in force and no stop has begun.
  bool ready() const { return core_.ready() && !stopping_; }
  /// @return where callers connect, with the port that the system picked.
  runtime::Address listenAddress() const { return server_.listenAddress(); }
  const ControlCore& control() const { return core_; }
  const HttpServer& server() const { return server_; }
  const runtime::ProcessRunner& runner() const { return runner_; }

 private:
  // ControlListener
  void onView(const view::ViewPointer& view) override;
  void onEndpointRecords(const std::vector<EndpointRecordPointer>& records) override;
  void onConnectionShare(std::uint32_t proxies) override;
  void onClaimAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) override;
  void onStopOrder() override;

  // ClaimService
  void takeClaim(RequestId request, const wire::ClaimRequestT& claim) override;
  void finishClaim(const wire::ClaimFinishT& finish) override;
  void reportSighting(const wire::EndpointRecordT& record) override;

  void onDrained();

  boost::asio::io_context& io_;
  Duration claim_settle_limit_;
  ControlCore core_;
  runtime::ProcessRunner runner_;
  HttpServer server_;
  boost::asio::steady_timer settle_timer_;
  bool stopping_ = false;
};

}  // namespace cometstand::proxy
