#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/vector_body.hpp>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "overload/memory_budget.h"
#include "runtime/deliveries.h"
#include "runtime/intake.h"
#include "runtime/process_core.h"

namespace cometstand::web {

/// Its body is moved, not copied, into what is passed on.
using Request = boost::beast::http::request<boost::beast::http::vector_body<std::uint8_t>>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/// @return the request's body as text, valid as long as the request.
inline std::string_view bodyText(const Request& request) {
  return {reinterpret_cast<const char*>(request.body().data()), request.body().size()};
}

/// Names one request and its answer. Rising, never used twice by one server.
enum class ExchangeId : std::uint64_t {};

/// What follows a part of an answer's body.
enum class PartEnd : std::uint8_t {
  More,
  /// The body is whole with this part.
  Last,
  /// The rest will not come: the connection ends, so that the answer cannot look whole.
  Broken,
};

/// What callers may send and how long they may take.
struct ServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
  /// From the first byte of a request to the end of its head.
  Duration header_time = std::chrono::seconds(10);
  /// From the first byte of a request to its last one.
  Duration read_time = std::chrono::seconds(30);
  /// Between two requests on one connection.
  Duration idle_time = std::chrono::seconds(20);
};

/// Decides the answers. Called on the io_context's one thread.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// A whole request has come. Server::respond() is to be called once, now or later, unless the caller
  /// leaves.
  virtual void onRequest(ExchangeId id, Request request) = 0;
  /// The caller closed its connection before it had its answer.
  virtual void onCallerGone(ExchangeId id) = 0;
  /// The caller's connection took so many bytes of a body that is sent in parts.
  virtual void onBodyWritten(ExchangeId /*id*/, std::size_t /*bytes*/) {}
  /// Limits for connections and requests that begin now.
  virtual ServerLimits limits() const { return {}; }
};

/// What a server may use of its process.
struct ServerResources {
  /// Where requests and answers are charged. Must outlive the server.
  overload::MemoryBudget& memory;
  /// Connections at once. At the limit, those that have sent no whole request, or have got their last answer,
  /// are closed for new ones.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
  /// If there are none, the connection that has rested longest is closed for a new one. For addresses whose
  /// callers need no kept connections.
  bool closes_resting = false;
};

class ServerConnection;

/// An HTTP/1.1 server on one address. Requests are held whole, answers may be handed in in parts; answers go
/// back in the order of the requests of a connection. Must live until the io_context has stopped running.
///
/// Requests and answers are charged to the memory budget. A request for which there is no room is refused
/// with 503 before it is handed out. When the budget runs short, connections that keep the server waiting for
/// their bytes, or do not read their answers, are closed, those with the largest charges first.
class Server : public runtime::Deliveries, public runtime::Intake, public overload::MemoryHolder {
 public:
  /// @param handler must outlive the server.
  /// @throw Error(InputOutput) if the address cannot be used.
  Server(boost::asio::io_context& io, const runtime::Address& address, RequestHandler& handler,
         const ServerResources& resources);
  ~Server() override;

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void start();
  /// @return the address in use, with the port that the system picked.
  runtime::Address listenAddress() const;

  /// Sends the answer. Does nothing if the caller is gone.
  void respond(ExchangeId id, Response response);
  /// Sends an answer whose body follows in parts, in chunks (RFC 9112, section 7.1).
  /// @param response with the first bytes of its body. Of a caller of HTTP/1.1.
  void beginResponse(ExchangeId id, Response response);
  /// Sends the next bytes. Does nothing if the caller is gone.
  void continueResponse(ExchangeId id, const std::string& bytes, PartEnd end);
  /// From now on the last answer to what a caller has sent closes its connection.
  void beginStop();

  std::size_t undelivered() const override;
  void closeIdle() override;
  void end() override;
  void reclaim() override;
  std::size_t connections() const { return connections_.size(); }

 private:
  friend class ServerConnection;

  /// Callers that send ahead are read on in a planned stop for so long: they learn that their connection ends
  /// from an answer, and what they had sent until then would be lost. One that always sends ahead must not
  /// hold the stop up.
  static constexpr Duration kReadAheadTime = std::chrono::seconds(1);

  bool isStopping() const { return stop_began_.has_value(); }
  /// @return true if a request may be read while the answers to those before it are awaited.
  bool readsAhead(TimePoint now) const { return !stop_began_ || now < *stop_began_ + kReadAheadTime; }
  void acceptNext();
  void add(boost::asio::ip::tcp::socket socket);
  /// @return true if there is room for one more connection.
  bool makeRoom();
  /// @return false if there is none.
  bool closeOldestExpendable();
  bool closeLongestResting();
  void sweep();
  void shedSlow();

  boost::asio::io_context& io_;
  RequestHandler& handler_;
  const ServerResources resources_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_timer_;
  boost::asio::steady_timer accept_pause_;
  std::map<ServerConnection*, std::shared_ptr<ServerConnection>> connections_;
  std::map<ExchangeId, ServerConnection*> exchanges_;
  std::uint64_t next_exchange_ = 1;
  std::optional<TimePoint> stop_began_;
  bool reclaim_posted_ = false;
  /// Connections that have sent no whole request, or whose last answer is written, oldest first.
  std::map<std::uint64_t, ServerConnection*> expendable_;
  std::uint64_t next_connection_ = 1;
};

}  // namespace cometstand::web
