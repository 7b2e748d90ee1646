#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/address.h"
#include "base/time.h"
#include "net/frame_codec.h"
#include "net/peer_identity.h"
#include "overload/memory_budget.h"

namespace cometstand::net {

/// Called on the link's executor. Both may be called after the caller's own close(), never after on_closed.
struct LinkHandlers {
  std::function<void(wire::EnvelopeT)> on_message;
  /// The reason is for the log.
  std::function<void(const std::string& reason)> on_closed;
};

/// Bytes waiting to be sent on one link above which the peer counts as stuck and the link is closed. Twice
/// the largest frame, so that one snapshot never closes a healthy link.
inline constexpr std::size_t kMaxQueuedBytes = 2 * kMaxFrameBytes;

/// One framed connection over TCP or TLS. Driven by one io_context thread; kept alive by its pending
/// operations until it is closed.
class Link : public std::enable_shared_from_this<Link> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  /// @param tls the context to use, or nullptr for plain TCP. Must outlive the link.
  Link(Socket socket, boost::asio::ssl::context* tls, LinkHandlers handlers);

  /// Charges the received parts of frames. The link is closed when there is no room for them: a peer may be
  /// anybody until its first frame is whole.
  /// @param budget must outlive the link; nullptr for no limit.
  void limitMemory(overload::MemoryBudget* budget) { frame_charge_ = overload::MemoryBudget::Charge(budget); }

  /// Takes an accepted socket. @param on_ready called once messages can flow.
  void accept(std::function<void(const PeerIdentity&)> on_ready);

  /// Connects to the address, giving up after the time limit.
  void connect(const Address& address, Duration time_limit,
               std::function<void(const PeerIdentity&)> on_ready);

  /// Queues one message. Does nothing on a closed link.
  void send(const wire::EnvelopeT& envelope);
  /// Queues one frame that was encoded before.
  void send(SharedFrame frame);

  /// Closes at once; queued messages are dropped. on_closed follows on the executor.
  void close(const std::string& reason);

  /// Closes once all queued messages are written.
  void closeAfterWrites();

  /// Closes once the peer has all queued messages: after the last one this side is shut down for sending, and
  /// the link is closed when the peer has closed it, too, or has not for kHalfClosedTime although the kernel
  /// holds nothing for it any more. What still comes is dropped, and send() does nothing.
  void closeOnceDelivered();

  static constexpr Duration kHalfClosedTime = std::chrono::milliseconds(500);

  /// @return bytes that are queued, or that the kernel holds for the peer.
  std::size_t unsentBytes();
  std::uint64_t bytesSent() const { return bytes_sent_; }
  std::uint64_t bytesReceived() const { return bytes_received_; }

 private:
  using TlsStream = boost::asio::ssl::stream<Socket>;
  using ReadyHandler = std::function<void(const PeerIdentity&)>;
  static constexpr std::size_t kReadBufferBytes = 16 * 1024;
  /// What a link may hold without a charge: most frames are smaller.
  static constexpr std::size_t kUnchargedBytes = 4 * 1024;
  using ReadBuffer = std::array<std::uint8_t, kReadBufferBytes>;
  enum class State {
    Opening,
    Open,
    /// Nothing is sent any more, and what comes is dropped.
    HalfClosed,
    Closed,
  };

  Socket& socket();
  void handshake(boost::asio::ssl::stream_base::handshake_type type, ReadyHandler on_ready);
  void becomeReady(const ReadyHandler& on_ready);
  PeerIdentity peerIdentity();
  void readSome();
  void waitForBytes();
  void readWaiting();
  void onRead(boost::system::error_code error, const ReadBuffer& buffer, std::size_t length);
  void deliverFrames();
  bool chargeFrame();
  void writeNext();
  void halfClose();
  void awaitPeerClose();

  /// Exactly one of the two is set.
  std::optional<Socket> plain_;
  std::optional<TlsStream> secure_;
  LinkHandlers handlers_;
  State state_ = State::Opening;
  bool close_after_writes_ = false;
  bool half_close_after_writes_ = false;
  bool writing_ = false;
  boost::asio::steady_timer open_timer_;
  FrameDecoder decoder_;
  overload::MemoryBudget::Charge frame_charge_;
  /// With TLS only.
  std::unique_ptr<ReadBuffer> secure_buffer_;
  std::deque<SharedFrame> queue_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

}  // namespace cometstand::net
