#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "proxy/backend_connection.h"
#include "proxy/body_stream.h"
#include "proxy/data_path.h"
#include "proxy/http_options.h"

namespace cometstand::proxy {

/// Hears what becomes of attempts. Not called for an attempt after its cancel().
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;
  /// Right before the first byte leaves. @return false if nothing may be sent.
  virtual bool beginSending(RequestId request, unsigned attempt) = 0;
  virtual void onAttemptFailed(RequestId request, unsigned attempt, AttemptFailure failure) = 0;
  virtual void onResponse(RequestId request, unsigned attempt, const BackendResponsePointer& response) = 0;
  /// @return where the body goes, or nullptr if nobody wants it.
  virtual BodyStreamPointer onStreamStarted(RequestId request, unsigned attempt,
                                            const BackendResponsePointer& head) = 0;
  virtual void onStreamEnded(RequestId request, unsigned attempt, bool whole) = 0;
};

/// Carries attempts to back ends over persistent connections, one request at a time on each. A cancelled
/// attempt's connection is closed, which back ends take as cancellation. Time limits of requests are the data
/// path's, which cancels. Driven by one io_context thread; must outlive its exchanges' completion handlers or
/// the io_context's run.
class BackendPool {
 public:
  BackendPool(boost::asio::any_io_executor executor, const HttpOptions& options, ExchangeObserver& observer);

  void send(SendOrder order);
  void cancel(RequestId request, unsigned attempt);

  /// Closes the connections that are not in use.
  void closeIdle();

  /// @return open connections to the address, idle ones included.
  unsigned connections(const runtime::Address& address) const;

 private:
  using Progress = web::ResponseReader::Progress;
  using ExchangeKey = std::pair<RequestId, unsigned>;

  struct Exchange {
    explicit Exchange(SendOrder send_order) : order(std::move(send_order)) {}
    SendOrder order;
    BackendConnectionPointer connection;
    /// How writing the request failed.
    boost::system::error_code write_error;
    bool cancelled = false;
  };
  using ExchangePointer = std::shared_ptr<Exchange>;

  boost::asio::awaitable<void> run(ExchangePointer exchange);
  boost::asio::awaitable<bool> openConnection(Exchange& exchange);
  boost::asio::awaitable<void> writeRequest(Exchange& exchange);
  boost::asio::awaitable<void> readAnswer(ExchangePointer exchange);
  /// Receives bytes once. @return what has come of the response then.
  boost::asio::awaitable<Progress> receive(Exchange& exchange);
  boost::asio::awaitable<void> streamBody(ExchangePointer exchange, Progress progress,
                                          BackendResponsePointer head, std::string first_part);

  BackendConnectionPointer takeIdle(const SendOrder& order);
  void makeRoom(const SendOrder& order);
  /// Keeps the connection for reuse if the answer left it usable.
  /// @param keeps_open the back end keeps the connection open.
  void park(Exchange& exchange, Progress progress, bool keeps_open);
  void parkConnection(const BackendConnectionPointer& connection);
  void watchIdle(const BackendConnectionPointer& connection);
  void dropIdle(const BackendConnectionPointer& connection);
  void sweepIdle();
  void fail(const ExchangePointer& exchange, AttemptFailure failure);
  /// Fails the attempt because its response was not accepted.
  void reject(const ExchangePointer& exchange);
  void forget(const Exchange& exchange);

  boost::asio::any_io_executor executor_;
  const HttpOptions& options_;
  ExchangeObserver& observer_;
  boost::asio::steady_timer sweep_timer_;
  bool sweeping_ = false;
  std::map<ExchangeKey, ExchangePointer> exchanges_;
  /// Oldest first.
  std::map<runtime::Address, std::deque<BackendConnectionPointer>> idle_;
  std::shared_ptr<ConnectionCounts> counts_ = std::make_shared<ConnectionCounts>();
};

}  // namespace cometstand::proxy
