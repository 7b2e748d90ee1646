#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

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
  /// @param settings as completeProxyOptions() left them.
  ProxyProcess(const ProxySettings& settings, std::uint64_t seed);

  /// The core to be run; attach() must follow before its runner starts.
  ControlCore& core() { return core_; }

  /// Binds the callers' address.
  /// @param runner of core(); must outlive the process's last event.
  /// @param on_stop_order called when an operator asks for a planned stop, from within the core.
  /// @throw Error(InputOutput) if the address cannot be used.
  void attach(boost::asio::io_context& io, runtime::ProcessRunner& runner,
              std::function<void()> on_stop_order);

  /// Accepts callers. Until a view is in force they are refused with a time to come back.
  void start() { server_->start(); }

  /// Begins a planned stop: tells the relay and finishes what is in flight.
  /// @param done called once nothing is in flight; the core's own stop, which settles claims, comes next. If
  /// the store does not confirm them in time, the io_context is stopped.
  void drain(std::function<void()> done);

  /// @return true once a view is in force and no stop has begun.
  bool ready() const { return core_.ready() && !server_->dataPath().drain().begun(); }
  /// @return where callers connect, with the port that the system picked.
  runtime::Address listenAddress() const { return server_->listenAddress(); }
  const ControlCore& control() const { return core_; }
  const HttpServer& server() const { return *server_; }

 private:
  // ControlListener
  void onView(const view::ViewPointer& view) override;
  void onEndpointRecords(const std::vector<EndpointRecordPointer>& records) override;
  void onConnectionShare(std::uint32_t proxies) override;
  void onClaimAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) override;
  void onStopOrder() override { on_stop_order_(); }

  // ClaimService
  void takeClaim(RequestId request, const wire::ClaimRequestT& claim) override;
  void finishClaim(const wire::ClaimFinishT& finish) override;
  void reportSighting(const wire::EndpointRecordT& record) override;

  ProxySettings settings_;
  std::uint64_t seed_;
  ControlCore core_;
  boost::asio::io_context* io_ = nullptr;
  runtime::ProcessRunner* runner_ = nullptr;
  std::function<void()> on_stop_order_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<boost::asio::steady_timer> settle_timer_;
};

}  // namespace cometstand::proxy
