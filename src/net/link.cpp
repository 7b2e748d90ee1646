#include "net/link.h"

#include <netinet/tcp.h>
#include <openssl/x509.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "base/error.h"
#include "net/unsent_bytes.h"

namespace cometstand::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kHandshakeTimeLimit = std::chrono::seconds(10);

/// A peer that says nothing to sent bytes for this long is taken for dead.
constexpr int kUnansweredLimitMs = 2'000;
/// An idle link is probed after a second without a byte, each second, and is dead after this many probes.
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 3;

/// A machine that is cut off or has no power says nothing, so the kernel must be told when to give up.
void detectDeadPeer(Link::Socket& socket) {
  using Probing = asio::detail::socket_option::boolean<SOL_SOCKET, SO_KEEPALIVE>;
  using Unanswered = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  using ProbeIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using ProbeInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using ProbeCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  error_code ignored;
  socket.set_option(Probing(true), ignored);
  socket.set_option(Unanswered(kUnansweredLimitMs), ignored);
  socket.set_option(ProbeIdle(kProbeSeconds), ignored);
  socket.set_option(ProbeInterval(kProbeSeconds), ignored);
  socket.set_option(ProbeCount(kProbes), ignored);
}

std::string subjectField(X509_NAME* subject, int field) {
  constexpr int kMaxFieldBytes = 256;
  std::array<char, kMaxFieldBytes> text{};
  const int length = X509_NAME_get_text_by_NID(subject, field, text.data(), kMaxFieldBytes);
  return length > 0 ? std::string(text.data(), static_cast<std::size_t>(length)) : std::string();
}

}  // namespace

Link::Link(Socket socket, asio::ssl::context* tls, LinkHandlers handlers)
    : handlers_(std::move(handlers)), open_timer_(socket.get_executor()) {
  if (tls != nullptr) {
    secure_.emplace(std::move(socket), *tls);
    secure_buffer_ = std::make_unique<ReadBuffer>();
  } else {
    plain_.emplace(std::move(socket));
  }
}

Link::Socket& Link::socket() { return secure_ ? secure_->next_layer() : *plain_; }

void Link::accept(ReadyHandler on_ready) { handshake(asio::ssl::stream_base::server, std::move(on_ready)); }

void Link::connect(const Address& address, Duration time_limit, ReadyHandler on_ready) {
  error_code parse_error;
  const auto host = asio::ip::make_address(address.host, parse_error);
  if (parse_error) {
    close("not an IP address: " + address.host);
    return;
  }
  open_timer_.expires_after(time_limit);
  open_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->state_ == State::Opening) self->close("connect timed out");
  });
  socket().async_connect(
      tcp::endpoint(host, address.port),
      [self = shared_from_this(), on_ready = std::move(on_ready)](error_code error) mutable {
        if (error) {
          self->close("connect failed: " + error.message());
          return;
        }
        self->handshake(asio::ssl::stream_base::client, std::move(on_ready));
      });
}

void Link::handshake(asio::ssl::stream_base::handshake_type type, ReadyHandler on_ready) {
  if (state_ == State::Closed) return;
  error_code ignored;
  socket().set_option(tcp::no_delay(true), ignored);
  detectDeadPeer(socket());
  if (!secure_) {
    // Reads happen only once bytes are there; should they be gone all the same, a read must not block.
    plain_->non_blocking(true, ignored);
    becomeReady(on_ready);
    return;
  }
  open_timer_.expires_after(kHandshakeTimeLimit);
  open_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->state_ == State::Opening) self->close("handshake timed out");
  });
  secure_->async_handshake(type,
                           [self = shared_from_this(), on_ready = std::move(on_ready)](error_code error) {
                             if (error) {
                               self->close("handshake failed: " + error.message());
                               return;
                             }
                             self->becomeReady(on_ready);
                           });
}

void Link::becomeReady(const ReadyHandler& on_ready) {
  if (state_ == State::Closed) return;
  state_ = State::Open;
  open_timer_.cancel();
  on_ready(peerIdentity());
  readSome();
  writeNext();
}

PeerIdentity Link::peerIdentity() {
  PeerIdentity identity;
  if (!secure_) return identity;
  X509* certificate = SSL_get_peer_certificate(secure_->native_handle());
  if (certificate == nullptr) return identity;
  X509_NAME* subject = X509_get_subject_name(certificate);
  identity.role = subjectField(subject, NID_organizationalUnitName);
  identity.name = subjectField(subject, NID_commonName);
  identity.tenant = subjectField(subject, NID_organizationName);
  X509_free(certificate);
  return identity;
}

void Link::readSome() {
  if (!secure_) {
    waitForBytes();
    return;
  }
  secure_->async_read_some(asio::buffer(*secure_buffer_),
                           [self = shared_from_this()](error_code error, std::size_t length) {
                             self->onRead(error, *self->secure_buffer_, length);
                             if (self->state_ != State::Closed) self->readSome();
                           });
}

/// A link without TLS has no buffer of its own while it waits: hundreds of links are idle most of the time,
/// so all links of a thread read into one buffer.
void Link::waitForBytes() {
  plain_->async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (self->state_ == State::Closed) return;
    if (error) {
      self->close("wait failed: " + error.message());
      return;
    }
    self->readWaiting();
    if (self->state_ != State::Closed) self->waitForBytes();
  });
}

void Link::readWaiting() {
  thread_local ReadBuffer buffer;
  error_code error;
  const std::size_t length = plain_->read_some(asio::buffer(buffer), error);
  const bool is_early = error == asio::error::would_block || error == asio::error::try_again;
  if (!is_early) onRead(error, buffer, length);
}

void Link::onRead(error_code error, const ReadBuffer& buffer, std::size_t length) {
  if (state_ == State::Closed) return;
  if (error) {
    close("read failed: " + error.message());
    return;
  }
  bytes_received_ += length;
  // Read all the same: a socket that is closed with unread bytes resets the connection, and the peer may lose
  // the last messages.
  if (state_ == State::HalfClosed) return;
  decoder_.append(std::span(buffer).first(length));
  deliverFrames();
  if (!chargeFrame()) close("no memory for a frame of this size");
}

bool Link::chargeFrame() {
  const std::size_t held = decoder_.heldBytes();
  return frame_charge_.tryResize(held > kUnchargedBytes ? held : 0);
}

void Link::deliverFrames() {
  try {
    while (state_ == State::Open) {
      auto envelope = decoder_.next();
      if (!envelope) return;
      handlers_.on_message(std::move(*envelope));
    }
  } catch (const Error& error) {
    close(error.what());
  }
}

void Link::send(const wire::EnvelopeT& envelope) {
  if (state_ == State::Closed || state_ == State::HalfClosed) return;
  send(std::make_shared<const FrameBytes>(encodeFrame(envelope)));
}

void Link::send(SharedFrame frame) {
  if (state_ == State::Closed || state_ == State::HalfClosed) return;
  queued_bytes_ += frame->size();
  queue_.push_back(std::move(frame));
  if (queued_bytes_ > kMaxQueuedBytes) {
    close("peer does not read: too many bytes queued");
    return;
  }
  writeNext();
}

void Link::writeNext() {
  if (state_ != State::Open || writing_) return;
  if (queue_.empty()) {
    if (close_after_writes_) {
      close("closed by this side");
    } else if (half_close_after_writes_) {
      halfClose();
    }
    return;
  }
  writing_ = true;
  auto on_written = [self = shared_from_this()](error_code error, std::size_t length) {
    self->writing_ = false;
    if (self->state_ == State::Closed) return;
    if (error) {
      self->close("write failed: " + error.message());
      return;
    }
    self->bytes_sent_ += length;
    self->queued_bytes_ -= length;
    self->queue_.pop_front();
    self->writeNext();
  };
  if (secure_) {
    asio::async_write(*secure_, asio::buffer(*queue_.front()), std::move(on_written));
  } else {
    asio::async_write(*plain_, asio::buffer(*queue_.front()), std::move(on_written));
  }
}

void Link::closeAfterWrites() {
  close_after_writes_ = true;
  const bool has_nothing_to_write = state_ == State::Opening && queue_.empty();
  if (has_nothing_to_write) return close("closed by this side");
  if (!writing_) writeNext();
}

void Link::closeOnceDelivered() {
  half_close_after_writes_ = true;
  const bool has_nothing_to_write = state_ == State::Opening && queue_.empty();
  if (has_nothing_to_write) return close("closed by this side");
  if (!writing_) writeNext();
}

std::size_t Link::unsentBytes() { return queued_bytes_ + net::unsentBytes(socket()); }

void Link::halfClose() {
  state_ = State::HalfClosed;
  error_code ignored;
  socket().shutdown(tcp::socket::shutdown_send, ignored);
  awaitPeerClose();
}

void Link::awaitPeerClose() {
  open_timer_.expires_after(kHalfClosedTime);
  open_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (error || self->state_ != State::HalfClosed) return;
    if (self->unsentBytes() > 0) {
      self->awaitPeerClose();
    } else {
      self->close("closed by this side, not by the peer");
    }
  });
}

void Link::close(const std::string& reason) {
  if (state_ == State::Closed) return;
  state_ = State::Closed;
  frame_charge_.resize(0);
  open_timer_.cancel();
  error_code ignored;
  socket().shutdown(tcp::socket::shutdown_both, ignored);
  socket().close(ignored);
  asio::post(socket().get_executor(),
             [self = shared_from_this(), reason] { self->handlers_.on_closed(reason); });
}

}  // namespace cometstand::net
