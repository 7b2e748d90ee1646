#include "rehearsal/simulator/process.h"

#include "base/error.h"

namespace cometstand::simulator {
namespace {

/// As in runtime::ProcessRunner: a core whose timer is due at once is still called at most this often.
constexpr Duration kMinimumTimerDelay = std::chrono::microseconds(200);

class NoFiles : public runtime::FileReader {
 public:
  std::optional<std::vector<std::uint8_t>> read(const std::string&) const override { return std::nullopt; }
  std::vector<std::string> list() const override { return {}; }
};

Duration scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

Process::Process(EventQueue& queue, Network& network, HostId host, Disk* disk, CoreMaker maker)
    : queue_(queue), network_(network), host_(host), disk_(disk), maker_(std::move(maker)) {}

TimePoint Process::localTime() const {
  return TimePoint(scale(queue_.now().time_since_epoch(), clock_rate_));
}

TimePoint Process::toGlobal(TimePoint local) const {
  // Rounded up, so that the clock has reached the local time when the event runs.
  return TimePoint(scale(local.time_since_epoch(), 1 / clock_rate_)) + Duration(2);
}

void Process::start() {
  if (core_ != nullptr) return;
  ++run_;
  armed_ = TimePoint::max();
  core_ = maker_(run_);
  network_.attach(host_, this);
  if (disk_ != nullptr) {
    disk_->open([this](runtime::WriteId id, const std::string& reason) {
      execute([this, id, reason](TimePoint now) {
        if (reason.empty()) {
          core_->onFileWritten(id, now);
        } else {
          core_->onFileFailed(id, reason, now);
        }
      });
    });
  }
  execute([this](TimePoint now) {
    const NoFiles none;
    core_->start(disk_ == nullptr ? static_cast<const runtime::FileReader&>(none) : *disk_, now);
  });
}

void Process::kill(bool power_loss) {
  if (core_ == nullptr) return;
  core_.reset();
  ++run_;
  frozen_ = false;
  frozen_events_.clear();
  links_.clear();
  connections_.clear();
  if (disk_ != nullptr) disk_->crash();
  network_.detach(host_, power_loss);
  for (const HostId companion : companions_) network_.detach(companion, power_loss);
}

void Process::end(const std::string& reason) {
  kill(false);
  if (on_end_) on_end_(reason);
}

void Process::freeze() {
  if (core_ != nullptr) frozen_ = true;
}

void Process::thaw() {
  if (!frozen_) return;
  frozen_ = false;
  const auto run = run_;
  auto events = std::exchange(frozen_events_, {});
  // After a thaw the timers that passed are due together with all that arrived meanwhile.
  armed_ = TimePoint::max();
  armTimer();
  for (auto& event : events) {
    if (run != run_) return;
    execute(std::move(event));
  }
}

void Process::beginStop() {
  execute([this](TimePoint now) { core_->beginStop(now); });
}

void Process::execute(std::function<void(TimePoint)> event) {
  if (core_ == nullptr) return;
  if (frozen_) {
    frozen_events_.push_back(std::move(event));
    return;
  }
  if (busy_) {
    event(localTime());
    return;
  }
  busy_ = true;
  std::string failure;
  try {
    event(localTime());
    flush();
  } catch (const std::exception& error) {
    failure = error.what();
  }
  busy_ = false;
  if (!failure.empty()) {
    end(failure);
  } else if (core_->stopped()) {
    end("");
  }
}

void Process::flush() {
  runtime::Actions actions = core_->takeActions();
  if (!actions.writes.empty() && disk_ != nullptr) disk_->write(std::move(actions.writes));
  for (const auto& order : actions.connects) {
    const ConnectionId connection = network_.connect(host_, order.address);
    links_[order.link] = connection;
    connections_[connection] = order.link;
  }
  sendMessages(actions);
  for (const auto link : actions.closes) {
    const auto found = links_.find(link);
    if (found != links_.end()) network_.close(found->second, host_);
  }
  armTimer();
}

void Process::sendMessages(const runtime::Actions& actions) {
  for (const auto& outgoing : actions.messages) {
    const auto found = links_.find(outgoing.link);
    if (found == links_.end()) continue;
    auto frame = std::make_shared<const net::FrameBytes>(net::encodeFrame(*outgoing.message));
    if (observer_ != nullptr) {
      observer_->onSent(host_, network_.peerOf(found->second, host_), found->second, *outgoing.message);
    }
    const auto bytes = frame->size();
    network_.send(found->second, host_, std::move(frame), bytes);
  }
}

void Process::armTimer() {
  const TimePoint due = core_->nextTimer();
  if (due == TimePoint::max()) return;
  const TimePoint when = std::max(toGlobal(due), queue_.now() + kMinimumTimerDelay);
  if (when >= armed_) return;
  armed_ = when;
  queue_.at(when, [this, when, run = run_] {
    if (run == run_ && armed_ == when) onTimerEvent(when);
  });
}

void Process::onTimerEvent(TimePoint /*due*/) {
  if (frozen_) return;
  armed_ = TimePoint::max();
  execute([this](TimePoint now) {
    if (core_->nextTimer() <= now) core_->onTimer(now);
  });
}

void Process::onConnection(ConnectionId connection) {
  const runtime::LinkId link{next_incoming_++};
  links_[link] = connection;
  connections_[connection] = link;
  execute([this, link](TimePoint now) { core_->onLinkOpened(link, {}, now); });
}

void Process::onConnected(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  execute([this, link = found->second](TimePoint now) { core_->onLinkOpened(link, {}, now); });
}

void Process::onPacket(ConnectionId connection, const Packet& packet) {
  const auto found = connections_.find(connection);
  const auto* frame = std::get_if<Frame>(&packet);
  if (found == connections_.end() || frame == nullptr) return;
  const HostId from = network_.peerOf(connection, host_);
  execute([this, from, link = found->second, connection, bytes = *frame](TimePoint now) {
    net::FrameDecoder decoder;
    decoder.append(*bytes);
    const auto envelope = decoder.next();
    if (!envelope) throw Error(ErrorKind::Malformed, "a frame is cut short", "");
    if (observer_ != nullptr) observer_->onDelivered(from, host_, connection, *envelope);
    core_->onMessage(link, *envelope, now);
  });
}

void Process::onClosed(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  execute([this, link = found->second, connection](TimePoint now) {
    links_.erase(link);
    connections_.erase(connection);
    core_->onLinkClosed(link, now);
  });
}

}  // namespace cometstand::simulator
