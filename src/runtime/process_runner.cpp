#include "runtime/process_runner.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "base/event_log.h"
#include "net/listener.h"
#include "runtime/events.h"
#include "runtime/frame_encoder.h"

namespace cometstand::runtime {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Pause before the next accept after one failed, for example for want of file descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);

/// A core whose timer is due at once is still called at most this often.
constexpr Duration kMinimumTimerDelay = std::chrono::microseconds(200);

/// How often a stop looks whether what was handed out has been delivered.
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(20);

}  // namespace

ProcessRunner::ProcessRunner(asio::io_context& io, ProcessCore& core, RunnerOptions options)
    : io_(io),
      core_(core),
      options_(std::move(options)),
      acceptor_(io),
      timer_(io),
      disk_thread_(1),
      stop_timer_(io) {
  if (!options_.data_folder.empty()) folder_ = std::make_unique<DataFolder>(options_.data_folder);
  if (!options_.listen.host.empty()) {
    net::listenOn(acceptor_, options_.listen.host, options_.listen.port,
                  "set an IP address of this machine and a port that no other process uses");
  }
}

ProcessRunner::~ProcessRunner() {
  if (folder_) folder_->interrupt();
  disk_thread_.join();
}

void ProcessRunner::start() {
  const EmptyFileReader no_files;
  const FileReader& files = folder_ ? static_cast<const FileReader&>(*folder_) : no_files;
  core_.start(files, SteadyClock::now());
  if (acceptor_.is_open()) acceptNext();
  flush();
}

void ProcessRunner::beginStop() {
  if (!stop_ends_by_ && stop_time_limit_) {
    stop_ends_by_ = SteadyClock::now() + *stop_time_limit_;
    armStopCheck();
  }
  core_.beginStop(SteadyClock::now());
  flush();
}

Address ProcessRunner::listenAddress() const {
  if (!acceptor_.is_open()) return {};
  const auto endpoint = acceptor_.local_endpoint();
  return {endpoint.address().to_string(), endpoint.port()};
}

std::uint64_t ProcessRunner::bytesSent() const {
  std::uint64_t total = closed_bytes_sent_;
  for (const auto& [id, link] : links_) total += link->bytesSent();
  return total;
}

std::uint64_t ProcessRunner::bytesReceived() const {
  std::uint64_t total = closed_bytes_received_;
  for (const auto& [id, link] : links_) total += link->bytesReceived();
  return total;
}

void ProcessRunner::acceptNext() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      logEvent(kAcceptFailed, {{"reason", error.message()}});
      auto pause = std::make_shared<asio::steady_timer>(io_, kAcceptRetryDelay);
      pause->async_wait([this, pause](error_code) { acceptNext(); });
      return;
    }
    if (finishing_) return;
    const LinkId id{next_incoming_++};
    auto link = std::make_shared<net::Link>(std::move(socket), options_.tls, handlersFor(id));
    link->limitMemory(options_.memory);
    addLink(id, link);
    link->accept([this, id](const PeerIdentity& peer) {
      core_.onLinkOpened(id, peer, SteadyClock::now());
      flush();
    });
    acceptNext();
  });
}

void ProcessRunner::addLink(LinkId id, const std::shared_ptr<net::Link>& link) { links_.emplace(id, link); }

net::LinkHandlers ProcessRunner::handlersFor(LinkId id) {
  net::LinkHandlers handlers;
  handlers.on_message = [this, id](const wire::EnvelopeT& envelope) {
    core_.onMessage(id, envelope, SteadyClock::now());
    flush();
  };
  handlers.on_closed = [this, id](const std::string& reason) {
    logEvent(kLinkClosed, {{"link", static_cast<std::uint64_t>(id)}, {"reason", reason}});
    forgetLink(id);
    core_.onLinkClosed(id, SteadyClock::now());
    flush();
  };
  return handlers;
}

void ProcessRunner::openLink(const ConnectOrder& order) {
  auto link = std::make_shared<net::Link>(tcp::socket(io_), options_.tls, handlersFor(order.link));
  addLink(order.link, link);
  link->connect(order.address, order.time_limit, [this, id = order.link](const PeerIdentity& peer) {
    core_.onLinkOpened(id, peer, SteadyClock::now());
    flush();
  });
}

void ProcessRunner::forgetLink(LinkId id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  closed_bytes_sent_ += found->second->bytesSent();
  closed_bytes_received_ += found->second->bytesReceived();
  links_.erase(found);
}

void ProcessRunner::flush() {
  Actions actions = core_.takeActions();
  if (!actions.writes.empty()) runWrites(std::move(actions.writes));
  for (const auto& order : actions.connects) {
    if (!finishing_) openLink(order);
  }
  FrameEncoder encoder;
  for (const auto& outgoing : actions.messages) {
    const auto found = links_.find(outgoing.link);
    if (found != links_.end()) found->second->send(encoder.frameOf(outgoing.message));
  }
  for (const LinkId id : actions.closes) {
    const auto found = links_.find(id);
    if (found != links_.end()) found->second->closeAfterWrites();
  }
  armTimer();
  // Not at once: each look asks the kernel about every connection, and events come by the thousand a second.
  if (core_.stopped() || finishing_) armStopCheck();
}

void ProcessRunner::continueStop() {
  const TimePoint now = SteadyClock::now();
  if (!stop_ends_by_ && core_.stopped()) stop_ends_by_ = now + kDeliveryTimeLimit;
  const bool is_complete = (finishing_ || core_.stopped()) && undelivered() == 0;
  const bool is_last_moment = stop_ends_by_ && now >= *stop_ends_by_ - kLastWritesTime;
  if (!finishing_ && (is_complete || is_last_moment)) beginLastSteps(now);
  const bool is_done = finishing_ && is_complete && links_.empty();
  if (is_done && intakes_ended_) {
    io_.stop();
    return;
  }
  if (is_done || is_last_moment) endIntakes();
  if (stop_ends_by_ && now >= *stop_ends_by_) {
    logWhatIsLeft();
    io_.stop();
  } else {
    armStopCheck();
  }
}

void ProcessRunner::logWhatIsLeft() const {
  std::size_t unsent_bytes = 0;
  for (const auto& [id, link] : links_) unsent_bytes += link->unsentBytes();
  logEvent(kStopCutShort,
           {{"undelivered", undelivered()}, {"links", links_.size()}, {"link_bytes", unsent_bytes}});
}

void ProcessRunner::beginLastSteps(TimePoint now) {
  finishing_ = true;
  timer_.cancel();
  acceptor_.close();
  core_.onStopEnding(now);
  for (auto* intake : intakes_) intake->closeIdle();
  for (const auto& [id, link] : links_) link->closeOnceDelivered();
}

/// The process goes on for a moment after its last event: what came then would be reset unread.
void ProcessRunner::endIntakes() {
  if (std::exchange(intakes_ended_, true)) return;
  for (auto* intake : intakes_) intake->end();
}

std::size_t ProcessRunner::undelivered() const {
  std::size_t count = 0;
  for (const auto* deliveries : deliveries_) count += deliveries->undelivered();
  return count;
}

void ProcessRunner::armStopCheck() {
  if (std::exchange(stop_check_armed_, true)) return;
  stop_timer_.expires_after(kStopCheckInterval);
  stop_timer_.async_wait([this](error_code error) {
    if (error) return;
    stop_check_armed_ = false;
    continueStop();
  });
}

void ProcessRunner::runWrites(std::vector<FileWrite> writes) {
  asio::post(disk_thread_, [this, writes = std::move(writes)] {
    auto results = folder_->apply(writes);
    asio::post(io_, [this, results = std::move(results)] {
      for (const auto& result : results) {
        if (result.error.empty()) {
          core_.onFileWritten(result.id, SteadyClock::now());
        } else {
          logEvent(kFileWriteFailed, {{"reason", result.error}});
          core_.onFileFailed(result.id, result.error, SteadyClock::now());
        }
      }
      flush();
    });
  });
}

void ProcessRunner::armTimer() {
  if (finishing_) return;
  const TimePoint due = core_.nextTimer();
  const bool is_armed = std::exchange(armed_for_, due) == due;
  if (due == TimePoint::max()) {
    timer_.cancel();
    return;
  }
  const Duration delay = std::max(due - SteadyClock::now(), kMinimumTimerDelay);
  const auto expiry = std::chrono::steady_clock::now() + delay;
  // A timer that is set already is left alone: events in quick succession must not put it off.
  if (is_armed && timer_.expiry() <= expiry) return;
  timer_.expires_at(expiry);
  timer_.async_wait([this](error_code error) {
    if (error) return;
    armed_for_ = TimePoint::max();
    core_.onTimer(SteadyClock::now());
    flush();
  });
}

}  // namespace cometstand::runtime
