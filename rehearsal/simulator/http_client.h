#pragma once

#include <functional>
#include <map>
#include <memory>

#include "rehearsal/simulator/network.h"

namespace cometstand::simulator {

/// How one exchange ended.
enum class ExchangeEnd : std::uint8_t {
  Answered,
  /// No connection came about: nothing was sent.
  NoConnection,
  /// The connection was lost after the request went out.
  Broken,
  TimedOut,
};

/// Sends each request on a connection of its own, as a caller's library would.
class HttpClient : public NetworkPeer {
 public:
  /// @param response null unless Answered.
  using Handler = std::function<void(ExchangeEnd end, const HttpResponse* response)>;

  HttpClient(EventQueue& queue, Network& network, HostId host);

  void request(const runtime::Address& to, HttpRequest request, Duration time_limit, Handler handler);

  bool accepts() const override { return false; }
  void onConnection(ConnectionId) override {}
  void onConnected(ConnectionId connection) override;
  void onPacket(ConnectionId connection, const Packet& packet) override;
  void onClosed(ConnectionId connection) override;

 private:
  struct Exchange {
    std::shared_ptr<const HttpRequest> request;
    Handler handler;
    bool sent = false;
  };

  void finish(ConnectionId connection, ExchangeEnd end, const HttpResponse* response);

  EventQueue& queue_;
  Network& network_;
  HostId host_;
  std::map<ConnectionId, Exchange> exchanges_;
};

}  // namespace cometstand::simulator
