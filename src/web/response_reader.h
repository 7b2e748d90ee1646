#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cometstand::web {

/// Why what a server sent is not a whole final response.
enum class ResponseFault : std::uint8_t {
  None,
  /// The connection ended, or failed, before the response did.
  ConnectionLost,
  /// A reset may have cut a response whose only end is that of its connection.
  ResetWhileSending,
  /// The bytes break the protocol.
  Malformed,
  /// The status is none: it lies outside 100 to 599 (RFC 9110, section 15).
  InvalidStatus,
  /// The server switches protocols, which nobody asked for.
  UnaskedUpgrade,
  /// The body is coded in a way that is not known, so that it has no end (RFC 9112, section 6.1).
  UnknownCoding,
  /// The head, with the interim responses before it, exceeds its limit.
  HeadTooLarge,
  BodyTooLarge,
  /// Chunk sizes, chunk extensions and trailers exceed their limit.
  FramingTooLarge,
  /// There is no memory for so large a body.
  NoMemory,
  /// The response did not end in time.
  TimedOut,
};

/// @return the fault's name for logs.
std::string_view responseFaultName(ResponseFault fault);

struct ResponseLimits {
  /// Bytes of the head and of all interim responses before it.
  std::uint32_t head_bytes = 64 * 1024;
  /// Bytes of the body; none if whoever takes the body bounds it.
  std::optional<std::uint64_t> body_bytes = 64ULL * 1024 * 1024;
};

/// A body for Beast's parser that grows as it is received. Beast's own reserves the length that the server
/// states, which may be made up.
struct ReceivedBody {
  using value_type = std::string;

  // The name is Beast's.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/, value_type& body) : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t bytes = 0;
      for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(part.data()), part.size());
        bytes += part.size();
      }
      return bytes;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

/// Reads the responses of one connection and decides, for all clients, what a whole final response is.
///
/// Does no input or output. Its owner calls begin(), receives bytes into prepare(), and reports them by
/// onReceived(), until the response is whole or has a fault. What it has read is bounded by the limits, but
/// for the body if it has none: the owner then empties it by takeBody().
class ResponseReader {
 public:
  using Message = boost::beast::http::response<ReceivedBody>;

  enum class Progress : std::uint8_t {
    /// More bytes are needed.
    Open,
    Whole,
    /// fault() tells why. Nothing more can be read from the connection.
    Faulty,
  };

  /// Awaits the next response.
  /// @param is_head_request the request was HEAD: the response has no body, whatever its head says.
  /// @return what the bytes that have come already amount to.
  Progress begin(const ResponseLimits& limits, bool is_head_request);
  /// @return where to put up to so many received bytes.
  boost::asio::mutable_buffer prepare(std::size_t bytes) { return buffer_.prepare(bytes); }
  /// So many bytes were received.
  Progress onReceived(std::size_t bytes);
  /// Nothing more will be received.
  /// @param read_error how reading ended.
  /// @param write_error how writing the request failed; none if it has not failed, or not yet.
  Progress onEnd(boost::system::error_code read_error, boost::system::error_code write_error);
  /// Gives the response up, with all that has come of it.
  Progress fail(ResponseFault fault);

  bool hasHead() const { return has_final_head_; }
  /// @return the response; its body as far as it has come and was not taken.
  const Message& message() const { return parser_->get(); }
  /// @return the length that the head states for the body.
  std::optional<std::uint64_t> statedLength() const;
  /// @return bytes of the body that are held.
  std::size_t bodyBytes() const { return parser_ ? parser_->get().body().size() : 0; }
  /// @return what has come of the body since the last call.
  std::string takeBody();
  /// @return the whole response with what was not taken of its body.
  boost::beast::http::response<boost::beast::http::string_body> release();
  /// @return true if a whole response said where it ends, other than with its connection.
  bool hasOwnEnd() const { return has_own_end_; }
  /// @return true if bytes have come behind the response.
  bool hasSurplus() const { return buffer_.size() > 0; }
  ResponseFault fault() const { return fault_; }

 private:
  using Parser = boost::beast::http::response_parser<ReceivedBody>;

  void restart();
  Progress parse();
  Progress parseSome();
  Progress onHead();
  Progress onWhole();
  bool isFramingTooLarge() const;

  ResponseLimits limits_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool is_head_request_ = false;
  bool has_final_head_ = false;
  bool has_own_end_ = false;
  ResponseFault fault_ = ResponseFault::None;
  /// Bytes before the body, those of interim responses included.
  std::size_t head_bytes_ = 0;
  /// Bytes of the body with its framing.
  std::size_t framed_bytes_ = 0;
  /// Bytes of the body that were taken.
  std::size_t taken_bytes_ = 0;
};

}  // namespace cometstand::web
