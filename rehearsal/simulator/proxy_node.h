#pragma once

#include <deque>
#include <map>
#include <string>

#include "proxy/control_core.h"
#include "proxy/data_path.h"
#include "rehearsal/simulator/process.h"

namespace cometstand::simulator {

/// Hears what a proxy runs.
class ViewObserver {
 public:
  virtual ~ViewObserver() = default;
  /// A view is in force.
  virtual void onViewInForce(const std::string& node, const view::View& view) = 0;
  /// The proxy counts all versions up to `as_of` as in force with this view.
  virtual void onAsOf(const std::string& node, const view::View& view, std::uint64_t as_of) = 0;
};

/// Settings of one proxy.
struct ProxyNodeOptions {
  proxy::ControlOptions control;
  proxy::DataPathOptions data_path;
};

/// One run of a proxy: the product's ControlCore and DataPath, joined as proxy::ProxyProcess joins them, with
/// simulated HTTP in place of sockets.
class ProxyNode : public runtime::ProcessCore, public NetworkPeer, private proxy::ControlListener {
 public:
  /// @param http_host where callers reach the proxy; a companion of the process.
  ProxyNode(const ProxyNodeOptions& options, Process& process, Network& network, HostId http_host,
            ViewObserver& observer);

  // runtime::ProcessCore
  void start(const runtime::FileReader& files, TimePoint now) override;
  void onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now) override;
  void onLinkClosed(runtime::LinkId link, TimePoint now) override;
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) override;
  void onFileWritten(runtime::WriteId write, TimePoint now) override;
  void onFileFailed(runtime::WriteId write, const std::string& reason, TimePoint now) override;
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override;
  runtime::Actions takeActions() override;
  void beginStop(TimePoint now) override;
  bool stopped() const override;

  // NetworkPeer, of the HTTP side
  bool accepts() const override;
  void onConnection(ConnectionId connection) override;
  void onConnected(ConnectionId connection) override;
  void onPacket(ConnectionId connection, const Packet& packet) override;
  void onClosed(ConnectionId connection) override;

  const proxy::ControlCore& control() const { return control_; }
  const proxy::DataPath& dataPath() const { return data_path_; }

 private:
  using ExchangeKey = std::pair<proxy::RequestId, unsigned>;
  struct Exchange {
    proxy::SendOrder order;
    ConnectionId connection{};
    bool sent = false;
  };

  // proxy::ControlListener
  void onView(const view::ViewPointer& view) override;
  void onEndpointRecords(const std::vector<view::EndpointRecordPointer>& records) override;
  void onConnectionShare(std::uint32_t proxies) override { data_path_.setSharingProxies(proxies); }
  void onClaimAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) override;
  void onStopOrder() override { stop_ordered_ = true; }

  void beginDrain(TimePoint now);
  void checkDrain(TimePoint now);
  void pump(TimePoint now);
  void carryOut(proxy::DataPathOrder& order, TimePoint now);
  void send(proxy::SendOrder order, TimePoint now);
  void sendOn(const ExchangeKey& key, Exchange& exchange, TimePoint now);
  void cancel(const ExchangeKey& key);
  void answer(proxy::RequestId request, const proxy::FinalAnswer& answer);
  void onCallerRequest(ConnectionId connection, const HttpRequest& request, TimePoint now);
  void onBackendResponse(ConnectionId connection, const HttpResponse& response, TimePoint now);
  void connectionLost(ConnectionId connection, TimePoint now);
  void park(const runtime::Address& address, ConnectionId connection);

  Process& process_;
  Network& network_;
  HostId http_host_;
  ViewObserver& observer_;
  proxy::ControlCore control_;
  proxy::DataPath data_path_;
  TimePoint now_;
  std::uint64_t told_as_of_ = 0;
  bool stop_ordered_ = false;
  bool draining_ = false;
  bool drained_ = false;
  TimePoint drain_check_ = TimePoint::max();
  /// Callers' connections and the request in work on each.
  std::map<ConnectionId, std::optional<proxy::RequestId>> callers_;
  std::map<proxy::RequestId, ConnectionId> requests_;
  std::map<ExchangeKey, Exchange> exchanges_;
  /// Connections to back ends that carry an exchange, or are being opened for one.
  std::map<ConnectionId, ExchangeKey> used_;
  std::map<ConnectionId, runtime::Address> backend_connections_;
  std::map<runtime::Address, std::deque<ConnectionId>> idle_;
  std::map<runtime::Address, unsigned> counts_;
  std::deque<std::pair<proxy::RequestId, wire::ClaimReplyT>> claim_answers_;
};

}  // namespace cometstand::simulator
