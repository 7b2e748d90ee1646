#include "rehearsal/simulator/http_client.h"

namespace cometstand::simulator {

HttpClient::HttpClient(EventQueue& queue, Network& network, HostId host)
    : queue_(queue), network_(network), host_(host) {
  network_.attach(host_, this);
}

void HttpClient::request(const runtime::Address& to, HttpRequest request, Duration time_limit,
                         Handler handler) {
  const ConnectionId connection = network_.connect(host_, to);
  auto& exchange = exchanges_[connection];
  exchange.request = std::make_shared<const HttpRequest>(std::move(request));
  exchange.handler = std::move(handler);
  queue_.after(time_limit, [this, connection] { finish(connection, ExchangeEnd::TimedOut, nullptr); });
}

void HttpClient::onConnected(ConnectionId connection) {
  const auto found = exchanges_.find(connection);
  if (found == exchanges_.end()) return;
  found->second.sent = true;
  network_.send(connection, host_, found->second.request, found->second.request->message->body.size());
}

void HttpClient::onPacket(ConnectionId connection, const Packet& packet) {
  const auto* response = std::get_if<std::shared_ptr<const HttpResponse>>(&packet);
  if (response != nullptr) finish(connection, ExchangeEnd::Answered, response->get());
}

void HttpClient::onClosed(ConnectionId connection) {
  const auto found = exchanges_.find(connection);
  if (found == exchanges_.end()) return;
  finish(connection, found->second.sent ? ExchangeEnd::Broken : ExchangeEnd::NoConnection, nullptr);
}

void HttpClient::finish(ConnectionId connection, ExchangeEnd end, const HttpResponse* response) {
  const auto found = exchanges_.find(connection);
  if (found == exchanges_.end()) return;
  const auto handler = std::move(found->second.handler);
  exchanges_.erase(found);
  network_.close(connection, host_);
  handler(end, response);
}

}  // namespace cometstand::simulator
