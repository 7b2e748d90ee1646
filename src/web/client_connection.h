#pragma once

#include <boost/asio/steady_timer.hpp>

#include "web/client.h"

namespace cometstand::web {

/// One connection of a Client. While it rests or waits for an answer, one read is always pending.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(Client& client);

  /// Sends the request, after a connect if there was none yet.
  void send(SendId id, OutgoingRequest request, AnswerMatcher matcher, SendHandler handler,
            const SendLimits& limits);
  /// Ends the request in progress without its response.
  void giveUp(ResponseFault fault);
  void close();
  bool isOpen() const { return state_ != State::Closed; }
  /// @return true if the server may close the connection any moment.
  bool isStale(TimePoint now) const { return idle_until_ <= now; }
  /// Changes the charge for the response that is received.
  /// @return false if the budget has no room for so large a one.
  bool tryCharge(std::size_t bytes);
  std::size_t chargedBytes() const { return charge_.bytes(); }

 private:
  enum class State : std::uint8_t { New, Connecting, Idle, Busy, Closed };

  void connect();
  void onConnected(boost::system::error_code error);
  void writeRequest();
  void awaitBytes();
  void onBytes(boost::system::error_code error, std::size_t length);
  void onProgress(ResponseReader::Progress progress);
  ResponseReader::Progress beginResponse();
  /// Charges what has come of the response.
  void holdBody();
  /// @return how reading goes on behind a response that belongs to another request.
  ResponseReader::Progress skipResponse();
  void startTimer();
  void finish(SendResult result, bool has_end = false);
  /// @param has_end the answer said where it ends, other than with its connection.
  void park(const Response& response, bool has_end);

  Client& client_;
  boost::asio::ip::tcp::socket socket_;
  /// Expires when an attempt to connect is given up.
  boost::asio::steady_timer connect_timer_;
  /// Expires when the response is given up, if its time is limited.
  boost::asio::steady_timer response_timer_;
  ResponseReader reader_;
  overload::MemoryBudget::Charge charge_;
  std::shared_ptr<const OutgoingRequest> request_;
  AnswerMatcher matcher_;
  SendHandler handler_;
  SendLimits limits_;
  SendId id_{};
  State state_ = State::New;
  bool read_pending_ = false;
  bool write_pending_ = false;
  /// How writing the request failed.
  boost::system::error_code write_error_;
  TimePoint idle_until_ = TimePoint::max();
};

}  // namespace cometstand::web
