#include "rehearsal/scale/reader_probe.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "net/link.h"
#include "runtime/process_runner.h"

namespace cometstand::rehearsal {

namespace {

constexpr auto kRetryPause = std::chrono::milliseconds(500);

}  // namespace

/// Goes from replica to replica until one feeds it, and keeps to that one while it can.
class ReaderProbe::Reader {
 public:
  Reader(ReaderProbe& probe, std::vector<runtime::Address> stores)
      : probe_(probe), stores_(std::move(stores)), timer_(probe.io_) {}

  void connect() {
    net::LinkHandlers handlers;
    handlers.on_message = [this](const wire::EnvelopeT& message) { onMessage(message); };
    handlers.on_closed = [this](const std::string&) { connectLater(); };
    counted_ = 0;
    link_ =
        std::make_shared<net::Link>(boost::asio::ip::tcp::socket(probe_.io_), nullptr, std::move(handlers));
    link_->connect(stores_[next_++ % stores_.size()], runtime::kConnectTimeLimit,
                   [this](const runtime::PeerIdentity&) { follow(); });
  }

 private:
  void follow() {
    wire::FollowRequestT request;
    request.relay = "reader-probe";
    request.zone = "reader-probe";
    request.address = std::make_shared<wire::NetworkAddressT>();
    request.address->address = "127.0.0.1";
    request.have_version = version_;
    link_->send(runtime::makeEnvelope(std::move(request)));
  }

  void onMessage(const wire::EnvelopeT& message) {
    ++probe_.messages_received_;
    probe_.bytes_received_ += link_->bytesReceived() - counted_;
    counted_ = link_->bytesReceived();
    if (const auto* delta = message.body.AsConfigurationDelta()) version_ = delta->to_version;
    if (const auto* snapshot = message.body.AsConfigurationSnapshot()) version_ = snapshot->version;
    if (message.body.AsRefusal() != nullptr) link_->close("refused");
    // Without an answer each query of the fleet's state would wait for its time limit.
    if (message.body.AsStatusRequest() != nullptr)
      link_->send(runtime::makeEnvelope(wire::StatusReplyT(), message.request_id));
  }

  void connectLater() {
    timer_.expires_after(kRetryPause);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) connect();
    });
  }

  ReaderProbe& probe_;
  std::vector<runtime::Address> stores_;
  std::size_t next_ = 0;
  boost::asio::steady_timer timer_;
  std::shared_ptr<net::Link> link_;
  std::uint64_t counted_ = 0;
  std::uint64_t version_ = 0;
};

ReaderProbe::ReaderProbe(std::vector<runtime::Address> stores)
    : io_(1), reader_(std::make_unique<Reader>(*this, std::move(stores))) {
  reader_->connect();
  thread_ = std::thread([this] { io_.run(); });
}

ReaderProbe::~ReaderProbe() {
  io_.stop();
  thread_.join();
}

}  // namespace cometstand::rehearsal
