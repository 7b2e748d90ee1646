#include "proxy/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <type_traits>
#include <utility>
#include <variant>

#include "base/event_log.h"
#include "net/listener.h"
#include "proxy/events.h"
#include "proxy/listen_filter.h"

namespace cometstand::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);
/// How often a draining server looks whether anything is left in flight.
constexpr auto kDrainCheckInterval = std::chrono::milliseconds(20);
/// How long a handshake that has begun may take to its end.
constexpr auto kHandshakeTime = std::chrono::milliseconds(100);

}  // namespace

HttpServer::HttpServer(asio::io_context& io, const HttpOptions& options,
                       const DataPathOptions& data_path_options, std::uint64_t seed, ClaimService& claims)
    : io_(io),
      options_(options),
      data_path_(data_path_options, seed),
      claims_(claims),
      pool_(io.get_executor(), options_, *this),
      acceptor_(io),
      timer_(io),
      accept_pause_(io),
      drain_timer_(io) {
  net::listenOn(acceptor_, options_.listen.host, options_.listen.port,
                "set proxy.listen to an IP address of this machine and a port that no other process uses");
}

HttpServer::~HttpServer() = default;

void HttpServer::start() {
  const auto address = listenAddress();
  logEvent(kServing, {{"address", address.host}, {"port", address.port}});
  acceptNext();
}

runtime::Address HttpServer::listenAddress() const {
  error_code error;
  const auto endpoint = acceptor_.local_endpoint(error);
  if (error) return {};
  return {endpoint.address().to_string(), endpoint.port()};
}

void HttpServer::acceptNext() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (error) {
      logEvent(kCallerAcceptFailed, {{"reason", error.message()}});
      accept_pause_.expires_after(kAcceptRetryDelay);
      accept_pause_.async_wait([this](error_code) {
        if (acceptor_.is_open()) acceptNext();
      });
      return;
    }
    startSession(std::move(socket));
    acceptNext();
  });
}

void HttpServer::startSession(tcp::socket socket) {
  const bool over_limit = connections_ >= options_.max_connections;
  ++connections_;
  auto session = std::make_shared<HttpSession>(std::move(socket), options_, static_cast<SessionHost&>(*this),
                                               over_limit);
  asio::co_spawn(
      io_, [session]() { return session->run(); }, asio::detached);
}

/// Ends accepting without a reset for any caller: first no new handshake begins, then, once those begun have
/// had their time, every connection that was made is accepted.
void HttpServer::stopAccepting(TimePoint now) {
  if (!handshakes_end_at_) {
    ignoreNewHandshakes(acceptor_.native_handle());
    handshakes_end_at_ = now + kHandshakeTime;
  }
  if (now < *handshakes_end_at_) return;
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) startSession(std::move(socket));
  }
  acceptor_.close(error);
}

void HttpServer::setRouter(std::shared_ptr<const Router> router) {
  data_path_.setRouter(std::move(router), SteadyClock::now());
  pump();
}

void HttpServer::applyEndpointRecord(const wire::EndpointRecordT& record) {
  data_path_.applyEndpointRecord(record, SteadyClock::now());
  pump();
}

void HttpServer::setSharingProxies(unsigned proxies) { data_path_.setSharingProxies(proxies); }

void HttpServer::onClaimReply(RequestId request, const wire::ClaimReplyT& reply) {
  data_path_.onClaimReply(request, reply, SteadyClock::now());
  pump();
}

RequestId HttpServer::submit(const HttpSessionPointer& session, CallerRequestPointer request) {
  const RequestId id = data_path_.onRequest(request, SteadyClock::now());
  sessions_.emplace(id, session);
  pump();
  return id;
}

void HttpServer::callerGone(RequestId request) {
  sessions_.erase(request);
  data_path_.onCallerGone(request, SteadyClock::now());
  pump();
}

bool HttpServer::beginSending(RequestId request, unsigned attempt) {
  return data_path_.beginSending(request, attempt);
}

void HttpServer::onAttemptFailed(RequestId request, unsigned attempt, AttemptFailure failure) {
  data_path_.onAttemptFailed(request, attempt, failure, SteadyClock::now());
  pump();
}

void HttpServer::onResponse(RequestId request, unsigned attempt, const BackendResponsePointer& response) {
  data_path_.onResponse(request, attempt, response, SteadyClock::now());
  pump();
}

BodyStreamPointer HttpServer::onStreamStarted(RequestId request, unsigned attempt,
                                              const BackendResponsePointer& head) {
  data_path_.onStreamStarted(request, attempt, head, SteadyClock::now());
  pump();
  const auto found = streams_.find(request);
  return found == streams_.end() ? nullptr : found->second;
}

void HttpServer::onStreamEnded(RequestId request, unsigned attempt, bool whole) {
  data_path_.onStreamEnded(request, attempt, whole, SteadyClock::now());
  pump();
}

HttpSessionPointer HttpServer::takeSession(RequestId request) {
  const auto found = sessions_.find(request);
  if (found == sessions_.end()) return nullptr;
  auto session = std::move(found->second);
  sessions_.erase(found);
  return session;
}

void HttpServer::startStream(const StreamOrder& order) {
  const auto session = takeSession(order.request);
  if (session == nullptr) return;
  auto stream = std::make_shared<BodyStream>(io_.get_executor());
  streams_[order.request] = stream;
  session->deliver(order.head, std::move(stream));
}

void HttpServer::endStream(RequestId request, bool whole) {
  const auto found = streams_.find(request);
  if (found == streams_.end()) return;
  const auto stream = std::move(found->second);
  streams_.erase(found);
  if (!whole) {
    stream->abort();
    return;
  }
  // An empty part is the end; it waits its turn behind the parts that the caller has not taken yet.
  stream->parts().async_send(error_code(), std::string(), [stream](error_code) {});
}

void HttpServer::carryOut(DataPathOrder& order) {
  std::visit(
      [&](auto& each) {
        using Order = std::decay_t<decltype(each)>;
        if constexpr (std::is_same_v<Order, SendOrder>) {
          pool_.send(std::move(each));
        } else if constexpr (std::is_same_v<Order, CancelOrder>) {
          pool_.cancel(each.request, each.attempt);
          streams_.erase(each.request);
        } else if constexpr (std::is_same_v<Order, AnswerOrder>) {
          if (const auto session = takeSession(each.request)) session->deliver(std::move(each.answer));
        } else if constexpr (std::is_same_v<Order, StreamOrder>) {
          startStream(each);
        } else if constexpr (std::is_same_v<Order, EndStreamOrder>) {
          endStream(each.request, true);
        } else if constexpr (std::is_same_v<Order, AbortOrder>) {
          endStream(each.request, false);
        } else if constexpr (std::is_same_v<Order, ClaimOrder>) {
          claims_.takeClaim(each.request, each.claim);
        } else if constexpr (std::is_same_v<Order, ClaimFinishOrder>) {
          claims_.finishClaim(each.finish);
        } else if constexpr (std::is_same_v<Order, SightingOrder>) {
          claims_.reportSighting(each.record);
        }
      },
      order);
}

void HttpServer::pump() {
  if (pumping_) return;
  pumping_ = true;
  for (auto orders = data_path_.takeOrders(); !orders.empty(); orders = data_path_.takeOrders()) {
    for (auto& order : orders) carryOut(order);
  }
  pumping_ = false;
  armTimer();
}

void HttpServer::armTimer() {
  const TimePoint due = data_path_.nextTimer();
  if (due == timer_due_) return;
  timer_due_ = due;
  if (due == TimePoint::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(due - SteadyClock::now());
  timer_.async_wait([this](error_code error) {
    if (error) return;
    timer_due_ = TimePoint::max();
    data_path_.onTimer(SteadyClock::now());
    pump();
  });
}

void HttpServer::beginDrain(std::function<void()> on_drained) {
  if (data_path_.drain().begun()) return;
  on_drained_ = std::move(on_drained);
  data_path_.beginDrain(SteadyClock::now());
  logEvent(kDrainBegun, {{"in_flight", data_path_.unsettled()}});
  checkDrain();
}

void HttpServer::checkDrain() {
  const auto now = SteadyClock::now();
  const auto& drain = data_path_.drain();
  // Connections accepted last are looked at by the next check, once their first bytes are read.
  const bool was_open = acceptor_.is_open();
  if (was_open && !drain.accepting(now)) stopAccepting(now);
  if (!was_open && drain.finished(data_path_.unsettled() + busy_sessions_, connections_, now)) {
    logEvent(kDrainFinished, {{"left_in_flight", data_path_.unsettled() + busy_sessions_}});
    pool_.closeIdle();
    if (on_drained_) std::exchange(on_drained_, nullptr)();
    return;
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this](error_code error) {
    if (!error) checkDrain();
  });
}

}  // namespace cometstand::proxy
