#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "proxy/backend_pool.h"
#include "proxy/claim_service.h"
#include "proxy/data_path.h"
#include "proxy/http_options.h"
#include "proxy/http_session.h"

namespace cometstand::proxy {

/// The HTTP side of a proxy: accepts callers, drives a DataPath, and carries out its orders. All calls happen
/// on the io_context's one thread. Must live until the io_context has stopped running.
class HttpServer : private ExchangeObserver, private SessionHost {
 public:
  /// @param claims must outlive the server.
  /// @throw Error(InputOutput) if the address cannot be used.
  HttpServer(boost::asio::io_context& io, const HttpOptions& options,
             const DataPathOptions& data_path_options, std::uint64_t seed, ClaimService& claims);
  ~HttpServer() override;

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Begins to accept callers.
  void start();

  /// @return the address in use, with the port that the system picked.
  runtime::Address listenAddress() const;

  void setRouter(std::shared_ptr<const Router> router);
  void applyEndpointRecord(const wire::EndpointRecordT& record);
  void setSharingProxies(unsigned proxies);
  void onClaimReply(RequestId request, const wire::ClaimReplyT& reply);

  /// Begins a planned stop: see drain.h. Tell the relay before. @param on_drained called once, when nothing
  /// is in flight any more or the limit passed.
  void beginDrain(std::function<void()> on_drained);

  const DataPathMetrics& metrics() const { return data_path_.metrics(); }
  const DataPath& dataPath() const { return data_path_; }
  std::size_t callerConnections() const { return connections_; }

 private:
  // ExchangeObserver
  bool beginSending(RequestId request, unsigned attempt) override;
  void onAttemptFailed(RequestId request, unsigned attempt, AttemptFailure failure) override;
  void onResponse(RequestId request, unsigned attempt, const BackendResponsePointer& response) override;
  BodyStreamPointer onStreamStarted(RequestId request, unsigned attempt,
                                    const BackendResponsePointer& head) override;
  void onStreamEnded(RequestId request, unsigned attempt, bool whole) override;

  // SessionHost
  RequestId submit(const HttpSessionPointer& session, CallerRequestPointer request) override;
  void callerGone(RequestId request) override;
  bool closing() const override { return data_path_.drain().begun(); }
  void onRequestBegun() override { ++busy_sessions_; }
  void onRequestEnded() override { --busy_sessions_; }
  void onSessionEnded() override { --connections_; }

  void acceptNext();
  void startSession(boost::asio::ip::tcp::socket socket);
  void stopAccepting(TimePoint now);
  void pump();
  void carryOut(DataPathOrder& order);
  void startStream(const StreamOrder& order);
  void endStream(RequestId request, bool whole);
  HttpSessionPointer takeSession(RequestId request);
  void armTimer();
  void checkDrain();

  boost::asio::io_context& io_;
  HttpOptions options_;
  DataPath data_path_;
  ClaimService& claims_;
  BackendPool pool_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer accept_pause_;
  boost::asio::steady_timer drain_timer_;
  TimePoint timer_due_ = TimePoint::max();
  bool pumping_ = false;
  std::size_t connections_ = 0;
  /// Sessions between the first byte of a request and the last byte of its answer.
  std::size_t busy_sessions_ = 0;
  /// Sessions whose request has no answer yet.
  std::map<RequestId, HttpSessionPointer> sessions_;
  std::map<RequestId, BodyStreamPointer> streams_;
  std::function<void()> on_drained_;
  /// Set once no new connection is taken.
  std::optional<TimePoint> handshakes_end_at_;
};

}  // namespace cometstand::proxy
