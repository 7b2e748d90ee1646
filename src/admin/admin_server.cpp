#include "admin/admin_server.h"

#include <fmt/format.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "admin/events.h"
#include "base/error.h"

namespace cometstand::admin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Longest time between two requests of a connection, and for one request or answer.
constexpr auto kIdleLimit = std::chrono::seconds(30);

/// Pause before the next accept after one failed, for example for want of file descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);

/// Largest request head, in bytes.
constexpr std::uint32_t kMaxHeaderBytes = 8U * 1024U;

/// Largest request body, in bytes. A GET has none; a small one is read and dropped.
constexpr std::uint64_t kMaxBodyBytes = 8U * 1024U;

constexpr const char* kPlainText = "text/plain; charset=utf-8";
constexpr const char* kMetricsText = "text/plain; version=0.0.4; charset=utf-8";

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

Response makeResponse(const Request& request, http::status status, std::string body,
                      const char* content_type = kPlainText) {
  Response response(status, request.version());
  response.set(http::field::content_type, content_type);
  response.set(http::field::cache_control, "no-store");
  response.keep_alive(request.keep_alive());
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

Response makeHealthResponse(const Request& request, const Health& health) {
  if (health.ok) return makeResponse(request, http::status::ok, "ok\n");
  return makeResponse(request, http::status::service_unavailable, health.reason + "\n");
}

Response answer(const Request& request, const AdminPages& pages) {
  if (request.method() != http::verb::get) {
    auto response = makeResponse(request, http::status::method_not_allowed, "send a GET request\n");
    response.set(http::field::allow, "GET");
    return response;
  }
  if (request.target() == "/live") return makeHealthResponse(request, pages.liveness());
  if (request.target() == "/ready") return makeHealthResponse(request, pages.readiness());
  if (request.target() == "/metrics") {
    MetricSet metrics;
    pages.addMetrics(metrics);
    return makeResponse(request, http::status::ok, metrics.toText(), kMetricsText);
  }
  return makeResponse(request, http::status::not_found, "ask for /metrics, /live or /ready\n");
}

/// One connection; keeps itself alive by its pending operation.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, const AdminPages& pages, std::function<void()> on_ended)
      : stream_(std::move(socket)), pages_(pages), on_ended_(std::move(on_ended)) {}

  void readNext() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    stream_.expires_after(kIdleLimit);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t) { self->onRead(error); });
  }

 private:
  void onRead(error_code error) {
    if (!error) return write(answer(parser_->get(), pages_));
    // A request that is not HTTP gets told so; a closed or silent connection just ends.
    const bool is_malformed = error.category() == http::make_error_code(http::error::bad_method).category() &&
                              error != http::error::end_of_stream && error != http::error::partial_message;
    if (!is_malformed) return end();
    Request unread;
    unread.keep_alive(false);
    write(makeResponse(unread, http::status::bad_request, fmt::format("{}\n", error.message())));
  }

  void write(Response response) {
    response_ = std::move(response);
    stream_.expires_after(kIdleLimit);
    http::async_write(stream_, response_, [self = shared_from_this()](error_code error, std::size_t) {
      if (error || !self->response_.keep_alive()) return self->end();
      self->readNext();
    });
  }

  void end() {
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    on_ended_();
  }

  beast::tcp_stream stream_;
  const AdminPages& pages_;
  std::function<void()> on_ended_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  Response response_;
};

}  // namespace

AdminServer::AdminServer(asio::io_context& io, const runtime::Address& address, const AdminPages& pages)
    : pages_(pages), acceptor_(io), accept_pause_(io) {
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
  } catch (const boost::system::system_error& error) {
    throw Error(
        ErrorKind::InputOutput,
        fmt::format("cannot serve admin pages on {}:{}: {}", address.host, address.port, error.what()),
        "set admin.address to an IP address of this machine and a port that no other process uses");
  }
}

void AdminServer::start() { acceptNext(); }

runtime::Address AdminServer::listenAddress() const {
  const auto endpoint = acceptor_.local_endpoint();
  return {endpoint.address().to_string(), endpoint.port()};
}

void AdminServer::acceptNext() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      serve(std::move(socket));
      return acceptNext();
    }
    logEvent(kAdminAcceptFailed, {{"reason", error.message()}});
    accept_pause_.expires_after(kAcceptRetryDelay);
    accept_pause_.async_wait([this](error_code wait_error) {
      if (!wait_error) acceptNext();
    });
  });
}

void AdminServer::serve(tcp::socket socket) {
  if (connections_ >= kMaxAdminConnections) return;  // The socket closes as it goes out of scope.
  ++connections_;
  std::make_shared<Session>(std::move(socket), pages_, [this] { --connections_; })->readNext();
}

}  // namespace cometstand::admin
