#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/span_body.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "web/response_reader.h"
#include "web/server.h"

namespace cometstand::web {

/// Names one request of a Client. Chosen by the caller, not used twice at one time.
enum class SendId : std::uint64_t {};

enum class SendOutcome : std::uint8_t {
  /// A whole answer came.
  Answered,
  /// No byte of the request left: no connection could be opened in time.
  NotSent,
  /// The connection ended, or what came is no whole answer; the request may have run.
  Broken,
};

struct SendResult {
  SendOutcome outcome = SendOutcome::Broken;
  Response response;
  /// Why a broken response was not accepted.
  ResponseFault fault = ResponseFault::None;
};

using SendHandler = std::function<void(SendResult)>;
/// @return true if the answer belongs to the request. Others are dropped, and the next one is awaited.
using AnswerMatcher = std::function<bool(const Response&)>;

/// What the response to a request may take.
struct SendLimits {
  ResponseLimits response;
  /// From the call of send() to the end of the response; by default, until cancel().
  Duration time = Duration::max();
};

/// A request to send, whose body is not copied.
struct OutgoingRequest {
  /// The body is bytes of `owner`, or of anything that lives as long.
  boost::beast::http::request<boost::beast::http::span_body<const std::uint8_t>> message;
  std::shared_ptr<const void> owner;
};

/// @return the request, which owns its body.
OutgoingRequest makeOutgoing(Request request);

class ClientConnection;

/// What came of a connection that carries nothing.
enum class ConnectOutcome : std::uint8_t {
  Accepted,
  /// Nobody listens at the address.
  Refused,
  /// It failed otherwise.
  Failed,
};

using ConnectHandler = std::function<void(ConnectOutcome)>;

/// An HTTP/1.1 client of one server, with kept connections and one request at a time on each. An answer may
/// come before the whole request has been sent; the connection is then not used again. A kept connection on
/// which anything arrives unasked is closed.
class Client {
 public:
  /// Time after which a request whose connection does not open is not sent. The connection opens by then if
  /// one packet is lost; a request must not reach a server much later than its sender decided to send it.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(1'300);

  /// @param memory charged with responses while they are received; must outlive the client. Large ones that
  /// find no room there are given up, the largest first. Null charges nothing.
  Client(boost::asio::io_context& io, runtime::Address address, overload::MemoryBudget* memory = nullptr);
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @param handler called exactly once, later, unless cancel() comes first.
  void send(SendId id, OutgoingRequest request, AnswerMatcher matcher, SendHandler handler,
            const SendLimits& limits = {});
  void send(SendId id, Request request, AnswerMatcher matcher, SendHandler handler,
            const SendLimits& limits = {}) {
    send(id, makeOutgoing(std::move(request)), std::move(matcher), std::move(handler), limits);
  }
  /// Opens a connection and closes it at once. @param handler called once, later, unless the client is gone.
  void probe(ConnectHandler handler);
  /// Closes the request's connection.
  void cancel(SendId id);

  const runtime::Address& address() const { return address_; }
  std::uint64_t connectionsOpened() const { return connections_opened_; }

 private:
  friend class ClientConnection;

  std::shared_ptr<ClientConnection> takeIdle();
  /// Makes room for the charge by giving up larger responses.
  /// @return false if there is none.
  bool makeRoom(ClientConnection& connection, std::size_t bytes);

  boost::asio::io_context& io_;
  runtime::Address address_;
  overload::MemoryBudget* const memory_;
  /// Oldest first.
  std::deque<std::shared_ptr<ClientConnection>> idle_;
  std::map<SendId, std::shared_ptr<ClientConnection>> busy_;
  std::uint64_t connections_opened_ = 0;
  /// Of the newest probe.
  std::shared_ptr<boost::asio::ip::tcp::socket> probe_;
};

}  // namespace cometstand::web
