#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <optional>

#include "web/server.h"

namespace cometstand::web {

/// One caller's connection to a Server. A read is pending whenever there is room for bytes, so that a caller
/// who leaves is noticed at once.
///
/// Requests that a caller sends before it has its answers (pipelining) are handed out together and answered
/// in the order in which they came, if all of them have safe methods (RFC 9112, section 9.3.2). Any other
/// request waits until those before it are answered.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// @param number rises with each connection of the server.
  ServerConnection(Server& server, std::uint64_t number, boost::asio::ip::tcp::socket socket);

  void start();
  /// Takes the answer to one request; it is written when those before it are.
  void respond(ExchangeId id, Response response);
  /// Takes the beginning of an answer that comes in parts, and its next part.
  void begin(ExchangeId id, Response response);
  void proceed(ExchangeId id, const std::string& bytes, PartEnd end);
  void close();
  /// Ends this side of a connection on which nothing has come since the last answer.
  void closeIfIdle();
  /// The connection is overdue: a request that is not whole is refused, and this side ends.
  void expire();
  /// @return true if the connection has rested, or a request has been on its way, for too long.
  bool isOverdue(const ServerLimits& limits, TimePoint now);
  /// @return true if a request is being read, or an answer that was handed over may not have come: it is not
  /// written, or the kernel holds some of it, or it was the last one and the caller has not closed its side
  /// yet.
  bool isDelivering(TimePoint now);
  /// To be called in equal intervals, by which isSlow() judges.
  void measureProgress();
  /// @return true if the server waits for this caller, who has sent or read nothing for a while, or next to
  /// nothing in the last whole interval.
  bool isSlow(TimePoint now) const;
  /// @return true if nothing of a request has come since the last answer.
  bool isResting() const;
  TimePoint restsSince() const { return since_; }
  /// @return true if the kernel holds bytes of the caller.
  bool hasUnreadBytes() const;
  /// @return bytes charged for requests and answers.
  std::size_t chargedBytes() const;
  /// Ends the connection to give its memory back. A request that is being read is refused.
  void shed();

 private:
  using Parser = boost::beast::http::request_parser<Request::body_type>;

  enum class State : std::uint8_t {
    Open,
    /// The last answer is written. What still comes is thrown away: closing a socket that holds unread bytes
    /// resets the connection, and the caller could lose the answer.
    Lingering,
    Closed,
  };

  /// A request whose answer is not written yet.
  struct Pending {
    /// Empty for a request that could not be read.
    std::optional<ExchangeId> id;
    bool has_safe_method = false;
    /// The caller, or an error, asks to close the connection after this answer.
    bool is_last = false;
    std::optional<Response> response;
    /// Of the request, from when it is handed out, and of the part of the answer that is not written.
    overload::MemoryBudget::Charge charge;
    std::size_t request_bytes = 0;

    // Of an answer in parts.
    bool in_parts = false;
    bool head_written = false;
    /// Bytes of the body that are not written.
    std::string part;
    PartEnd end = PartEnd::More;
  };

  /// Bytes on their way to the caller.
  struct Outgoing {
    std::string head;
    std::string body;
    std::string end;
    std::size_t written = 0;
  };
  using WriteHandler = std::function<void(boost::system::error_code)>;

  void write(const std::shared_ptr<Outgoing>& outgoing, WriteHandler handler);
  bool awaitsCaller() const;
  void noteProgress(std::size_t bytes);
  bool isReadingHead() const;
  void awaitBytes();
  void onReadable(boost::system::error_code error);
  void parseRequests();
  bool parseOne();
  bool beginRequest();
  bool chargeBody();
  static std::size_t requestCost(std::string_view head);
  void refuseForMemory();
  std::size_t parseBytes(boost::system::error_code& error);
  bool hasRequestBytes();
  bool mayBegin() const;
  bool mustWait() const;
  void finishRequest();
  void refuse(Response response);
  void refuse(boost::beast::http::status status);
  void sendContinue();
  void writeNext();
  void prepareLast(Pending& item);
  static std::size_t answerCost(const Pending& item);
  Pending* find(ExchangeId id);
  static std::string textOf(const Response& head);
  static std::string headOf(const Pending& item);
  static void chargePart(Pending& item);
  void writePart();
  void onPartWritten(boost::system::error_code error, ExchangeId id, std::size_t body_bytes, PartEnd end);
  void onWritten(boost::system::error_code error);
  void releaseBuffer();
  void linger();
  bool lingersTooLong(TimePoint now);

  Server& server_;
  const std::uint64_t number_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  /// Set while a request is being read.
  std::optional<Parser> parser_;
  /// Bytes of the buffer that hold no end of a head.
  std::size_t scanned_ = 0;
  /// Of the latest request, in bytes.
  std::size_t header_limit_ = 0;
  std::uint64_t body_limit_ = 0;
  /// Of the request that is being read.
  overload::MemoryBudget::Charge charge_;
  /// What the head of the request that is being read costs, in bytes.
  std::size_t head_cost_ = 0;
  /// Oldest first; the front one's answer is written next.
  std::deque<Pending> pending_;
  State state_ = State::Open;
  bool read_pending_ = false;
  bool writing_ = false;
  bool continue_sent_ = false;
  /// No request is read any more.
  bool reading_ended_ = false;
  /// When the connection began to rest, the request that is read began, or while it lingers the kernel last
  /// held some of the last answer.
  TimePoint since_;
  TimePoint lingers_until_;
  /// When the caller last sent something, or took some of an answer, or an answer was begun.
  TimePoint progressed_at_;
  /// Bytes that the caller sent or read since measureProgress() was called.
  std::size_t progress_ = 0;
  bool awaited_caller_ = false;
  bool is_slow_ = false;
};

}  // namespace cometstand::web
