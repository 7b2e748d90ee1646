#include "rehearsal/simulator/proxy_node.h"

#include <algorithm>
#include <type_traits>
#include <variant>

namespace cometstand::simulator {
namespace {

/// As in proxy::HttpServer.
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);
constexpr std::uint64_t kDataPathSeed = 1000;
constexpr std::size_t kHeadBytes = 150;

std::shared_ptr<const proxy::Router> routerOf(const view::View& view) {
  std::vector<proxy::ObjectPointer> objects;
  objects.reserve(view.objects().size());
  for (const auto& [id, change] : view.objects()) objects.emplace_back(change, change->object.get());
  return std::make_shared<const proxy::Router>(objects);
}

}  // namespace

ProxyNode::ProxyNode(const ProxyNodeOptions& options, Process& process, Network& network, HostId http_host,
                     ViewObserver& observer)
    : process_(process),
      network_(network),
      http_host_(http_host),
      observer_(observer),
      control_(options.control, this),
      data_path_(options.data_path, options.control.seed + kDataPathSeed) {}

void ProxyNode::start(const runtime::FileReader& files, TimePoint now) {
  now_ = now;
  network_.attach(http_host_, this);
  control_.start(files, now);
}

void ProxyNode::onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now) {
  now_ = now;
  control_.onLinkOpened(link, peer, now);
}

void ProxyNode::onLinkClosed(runtime::LinkId link, TimePoint now) {
  now_ = now;
  control_.onLinkClosed(link, now);
}

void ProxyNode::onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  now_ = now;
  control_.onMessage(link, message, now);
}

void ProxyNode::onFileWritten(runtime::WriteId write, TimePoint now) {
  now_ = now;
  control_.onFileWritten(write, now);
}

void ProxyNode::onFileFailed(runtime::WriteId write, const std::string& reason, TimePoint now) {
  now_ = now;
  control_.onFileFailed(write, reason, now);
}

void ProxyNode::onTimer(TimePoint now) {
  now_ = now;
  if (control_.nextTimer() <= now) control_.onTimer(now);
  if (data_path_.nextTimer() <= now) data_path_.onTimer(now);
  if (drain_check_ <= now) checkDrain(now);
}

TimePoint ProxyNode::nextTimer() const {
  return std::min({control_.nextTimer(), data_path_.nextTimer(), drain_check_});
}

runtime::Actions ProxyNode::takeActions() {
  now_ = process_.localTime();
  if (std::exchange(stop_ordered_, false)) beginDrain(now_);
  pump(now_);
  if (control_.asOf() != told_as_of_) {
    told_as_of_ = control_.asOf();
    observer_.onAsOf(network_.nameOf(process_.host()), *control_.currentView(), told_as_of_);
  }
  return control_.takeActions();
}

void ProxyNode::beginStop(TimePoint now) {
  now_ = now;
  beginDrain(now);
}

void ProxyNode::beginDrain(TimePoint now) {
  if (draining_) return;
  draining_ = true;
  control_.announceStop();
  data_path_.beginDrain(now);
  drain_check_ = now;
}

void ProxyNode::checkDrain(TimePoint now) {
  drain_check_ = now + kDrainCheckInterval;
  if (!data_path_.drain().finished(data_path_.unsettled(), callers_.size(), now)) return;
  drain_check_ = TimePoint::max();
  drained_ = true;
  control_.beginStop(now);
}

bool ProxyNode::stopped() const { return drained_ && control_.stopped(); }

void ProxyNode::onView(const view::ViewPointer& view) {
  observer_.onViewInForce(network_.nameOf(process_.host()), *view);
  data_path_.setRouter(routerOf(*view), now_);
}

void ProxyNode::onEndpointRecords(const std::vector<view::EndpointRecordPointer>& records) {
  for (const auto& record : records) data_path_.applyEndpointRecord(*record, now_);
}

void ProxyNode::onClaimAnswer(std::uint64_t callback, const wire::ClaimReplyT& reply) {
  claim_answers_.emplace_back(proxy::RequestId{callback}, reply);
}

void ProxyNode::pump(TimePoint now) {
  for (;;) {
    auto orders = data_path_.takeOrders();
    if (orders.empty() && claim_answers_.empty()) return;
    for (auto& order : orders) carryOut(order, now);
    for (const auto& [request, reply] : std::exchange(claim_answers_, {})) {
      data_path_.onClaimReply(request, reply, now);
    }
  }
}

void ProxyNode::carryOut(proxy::DataPathOrder& order, TimePoint now) {
  std::visit(
      [&](auto& each) {
        using Order = std::decay_t<decltype(each)>;
        if constexpr (std::is_same_v<Order, proxy::SendOrder>) {
          send(std::move(each), now);
        } else if constexpr (std::is_same_v<Order, proxy::CancelOrder>) {
          cancel({each.request, each.attempt});
        } else if constexpr (std::is_same_v<Order, proxy::AnswerOrder>) {
          answer(each.request, each.answer);
        } else if constexpr (std::is_same_v<Order, proxy::ClaimOrder>) {
          control_.requestClaim(std::move(each.claim), static_cast<std::uint64_t>(each.request), now);
        } else if constexpr (std::is_same_v<Order, proxy::ClaimFinishOrder>) {
          control_.finishClaim(std::move(each.finish), now);
        } else if constexpr (requires { each.record; }) {
          control_.reportSighting(std::move(each.record));
        }
      },
      order);
}

// ---- Back ends ------------------------------------------------------------------------------

void ProxyNode::send(proxy::SendOrder order, TimePoint now) {
  const ExchangeKey key{order.request, order.attempt};
  const auto address = order.address;
  const auto budget = order.connection_budget;
  auto& exchange = exchanges_[key];
  exchange.order = std::move(order);
  auto& idle = idle_[address];
  if (!idle.empty()) {
    exchange.connection = idle.back();
    idle.pop_back();
    used_[exchange.connection] = key;
    sendOn(key, exchange, now);
    return;
  }
  if (counts_[address] >= budget) {
    exchanges_.erase(key);
    data_path_.onAttemptFailed(key.first, key.second, proxy::AttemptFailure::NoConnection, now);
    return;
  }
  exchange.connection = network_.connect(http_host_, address);
  used_[exchange.connection] = key;
  backend_connections_[exchange.connection] = address;
  ++counts_[address];
}

void ProxyNode::sendOn(const ExchangeKey& key, Exchange& exchange, TimePoint now) {
  if (!data_path_.beginSending(key.first, key.second)) {
    const auto connection = exchange.connection;
    const auto address = exchange.order.address;
    exchanges_.erase(key);
    used_.erase(connection);
    park(address, connection);
    return;
  }
  exchange.sent = true;
  auto request = std::make_shared<HttpRequest>();
  request->message = exchange.order.message;
  request->attempt = exchange.order.attempt_header;
  request->time_left = exchange.order.deadline - now;
  request->secret = exchange.order.route->secret;
  const auto bytes = request->message->body.size() + kHeadBytes;
  network_.send(exchange.connection, http_host_, std::shared_ptr<const HttpRequest>(std::move(request)),
                bytes);
}

void ProxyNode::cancel(const ExchangeKey& key) {
  const auto found = exchanges_.find(key);
  if (found == exchanges_.end()) return;
  const auto connection = found->second.connection;
  exchanges_.erase(found);
  used_.erase(connection);
  network_.close(connection, http_host_);
}

void ProxyNode::park(const runtime::Address& address, ConnectionId connection) {
  idle_[address].push_back(connection);
}

void ProxyNode::onBackendResponse(ConnectionId connection, const HttpResponse& response, TimePoint now) {
  const auto used = used_.find(connection);
  if (used == used_.end()) return;
  const auto key = used->second;
  const auto address = exchanges_.at(key).order.address;
  used_.erase(used);
  exchanges_.erase(key);
  park(address, connection);
  data_path_.onResponse(key.first, key.second, std::make_shared<proxy::BackendResponse>(response.response),
                        now);
}

void ProxyNode::connectionLost(ConnectionId connection, TimePoint now) {
  const auto backend = backend_connections_.find(connection);
  if (backend != backend_connections_.end()) {
    --counts_[backend->second];
    std::erase(idle_[backend->second], connection);
    backend_connections_.erase(backend);
  }
  const auto used = used_.find(connection);
  if (used == used_.end()) return;
  const auto key = used->second;
  const bool sent = exchanges_.at(key).sent;
  used_.erase(used);
  exchanges_.erase(key);
  data_path_.onAttemptFailed(key.first, key.second,
                             sent ? proxy::AttemptFailure::Aborted : proxy::AttemptFailure::NoConnection,
                             now);
}

// ---- Callers --------------------------------------------------------------------------------

void ProxyNode::onCallerRequest(ConnectionId connection, const HttpRequest& request, TimePoint now) {
  const auto caller = callers_.find(connection);
  if (caller == callers_.end()) return;
  const auto id = data_path_.onRequest(request.message, now);
  caller->second = id;
  requests_[id] = connection;
}

void ProxyNode::answer(proxy::RequestId request, const proxy::FinalAnswer& final_answer) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  const auto connection = found->second;
  requests_.erase(found);
  const auto caller = callers_.find(connection);
  if (caller != callers_.end()) caller->second.reset();
  auto packet = std::make_shared<HttpResponse>();
  packet->outcome = final_answer.outcome;
  packet->retry_after = final_answer.retry_after;
  packet->closes = data_path_.drain().begun();
  if (final_answer.response != nullptr) {
    packet->response = *final_answer.response;
  } else {
    packet->response.status = final_answer.status;
    packet->response.body = final_answer.message;
  }
  const auto bytes = packet->response.body.size() + kHeadBytes;
  network_.send(connection, http_host_, std::shared_ptr<const HttpResponse>(std::move(packet)), bytes);
}

bool ProxyNode::accepts() const { return data_path_.drain().accepting(process_.localTime()); }

void ProxyNode::onConnection(ConnectionId connection) {
  process_.execute([this, connection](TimePoint) { callers_[connection]; });
}

void ProxyNode::onConnected(ConnectionId connection) {
  process_.execute([this, connection](TimePoint now) {
    now_ = now;
    const auto used = used_.find(connection);
    if (used == used_.end()) return;
    const auto key = used->second;
    sendOn(key, exchanges_.at(key), now);
  });
}

void ProxyNode::onPacket(ConnectionId connection, const Packet& packet) {
  process_.execute([this, connection, packet](TimePoint now) {
    now_ = now;
    if (const auto* request = std::get_if<std::shared_ptr<const HttpRequest>>(&packet)) {
      onCallerRequest(connection, **request, now);
    } else if (const auto* response = std::get_if<std::shared_ptr<const HttpResponse>>(&packet)) {
      onBackendResponse(connection, **response, now);
    }
  });
}

void ProxyNode::onClosed(ConnectionId connection) {
  process_.execute([this, connection](TimePoint now) {
    now_ = now;
    const auto caller = callers_.find(connection);
    if (caller == callers_.end()) return connectionLost(connection, now);
    const auto request = caller->second;
    callers_.erase(caller);
    if (!request) return;
    requests_.erase(*request);
    data_path_.onCallerGone(*request, now);
  });
}

}  // namespace cometstand::simulator
