#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "runtime/process_core.h"

namespace cometstand::runtime::test {

/// Files in memory.
class MemoryFiles : public FileReader {
 public:
  std::optional<std::vector<std::uint8_t>> read(const std::string& file) const override {
    const auto found = files_.find(file);
    if (found == files_.end()) return std::nullopt;
    return found->second;
  }
  std::vector<std::string> list() const override {
    std::vector<std::string> names;
    for (const auto& [name, bytes] : files_) names.push_back(name);
    return names;
  }
  /// Carries out one operation.
  void apply(const FileWrite& write) {
    auto& bytes = files_[write.file];
    if (write.mode != FileWriteMode::Append) bytes.clear();
    bytes.insert(bytes.end(), write.bytes.begin(), write.bytes.end());
    if (write.mode == FileWriteMode::Remove) files_.erase(write.file);
  }
  std::vector<std::uint8_t>& bytes(const std::string& file) { return files_.at(file); }

 private:
  std::map<std::string, std::vector<std::uint8_t>> files_;
};

/// @return the message if it is of the given kind, else nullptr.
template <typename Message>
const Message* messageAs(const wire::EnvelopeT& envelope) {
  if (envelope.body.type != wire::BodyUnionTraits<Message>::enum_value) return nullptr;
  return static_cast<const Message*>(envelope.body.value);
}

/// Drives one core by hand: the test plays all its peers, its disk and its clock.
class CoreDriver {
 public:
  explicit CoreDriver(ProcessCore& core) : core_(core) {}

  TimePoint now() const { return now_; }

  void start(const FileReader& files) {
    core_.start(files, now_);
    collect();
  }

  /// Lets a peer connect. @return the new link.
  LinkId accept(const PeerIdentity& peer = {}) {
    const LinkId link{next_incoming_++};
    open(link, peer);
    return link;
  }

  void open(LinkId link, const PeerIdentity& peer = {}) {
    core_.onLinkOpened(link, peer, now_);
    collect();
  }

  void lose(LinkId link) {
    core_.onLinkClosed(link, now_);
    collect();
  }

  template <typename Message>
  void receive(LinkId link, Message message, std::uint64_t request_id = 0) {
    core_.onMessage(link, makeEnvelope(std::move(message), request_id), now_);
    collect();
  }

  /// Lets time pass; timers are called when they are due.
  /// @throw std::logic_error if the core asks for a timer over and over without end.
  void advance(Duration duration) {
    const TimePoint end = now_ + duration;
    unsigned calls_at_once = 0;
    while (core_.nextTimer() <= end) {
      const TimePoint due = std::max(core_.nextTimer(), now_);
      calls_at_once = due == now_ ? calls_at_once + 1 : 0;
      if (calls_at_once > kMaxTimerCallsAtOnce) throw std::logic_error("the core's timer never rests");
      now_ = due;
      core_.onTimer(now_);
      collect();
    }
    now_ = end;
  }

  /// Takes what the core asked for through a call of its own, outside the driver.
  void collect() {
    Actions actions = core_.takeActions();
    for (auto& message : actions.messages) messages_.push_back(std::move(message));
    connects_.insert(connects_.end(), actions.connects.begin(), actions.connects.end());
    for (auto& write : actions.writes) writes_.push_back(std::move(write));
    for (const LinkId link : actions.closes) {
      // As the runner does it: the close is reported later; cores take it well if it never is.
      closed_.insert(link);
    }
  }

  /// @return the messages of one kind to the link, removed from those not looked at yet.
  template <typename Message>
  std::vector<Message> take(LinkId link) {
    std::vector<Message> taken;
    std::erase_if(messages_, [&](const OutgoingMessage& outgoing) {
      const auto* message = messageAs<Message>(*outgoing.message);
      if (outgoing.link != link || message == nullptr) return false;
      taken.push_back(*message);
      last_request_id_ = outgoing.message->request_id;
      return true;
    });
    return taken;
  }

  /// @return the one message of its kind to the link.
  /// @throw std::logic_error if there is none or more than one.
  template <typename Message>
  Message takeOne(LinkId link) {
    auto taken = take<Message>(link);
    if (taken.size() != 1) {
      throw std::logic_error(std::to_string(taken.size()) + " messages instead of one");
    }
    return std::move(taken.front());
  }

  /// @return the request id of the message that take() returned last.
  std::uint64_t lastRequestId() const { return last_request_id_; }

  /// Lets time pass until the core connects somewhere. @return the order, removed.
  ConnectOrder takeConnect(Duration limit = std::chrono::seconds(60)) {
    const TimePoint end = now_ + limit;
    while (connects_.empty() && now_ < end && core_.nextTimer() <= end) {
      advance(std::max(core_.nextTimer() - now_, Duration::zero()));
    }
    if (connects_.empty()) throw std::logic_error("the core does not connect");
    const ConnectOrder order = connects_.front();
    connects_.erase(connects_.begin());
    return order;
  }

  /// Stores all writes asked for so far and tells the core. @return how many there were.
  std::size_t store(MemoryFiles& files) {
    const auto writes = std::exchange(writes_, {});
    for (const auto& write : writes) {
      files.apply(write);
      core_.onFileWritten(write.id, now_);
      collect();
    }
    return writes.size();
  }

  std::vector<OutgoingMessage>& messages() { return messages_; }
  std::vector<ConnectOrder>& connects() { return connects_; }
  std::vector<FileWrite>& writes() { return writes_; }
  bool closed(LinkId link) const { return closed_.contains(link); }

 private:
  static constexpr unsigned kMaxTimerCallsAtOnce = 1000;

  ProcessCore& core_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t next_incoming_ = kFirstIncomingLink;
  std::vector<OutgoingMessage> messages_;
  std::vector<ConnectOrder> connects_;
  std::vector<FileWrite> writes_;
  std::set<LinkId> closed_;
  std::uint64_t last_request_id_ = 0;
};

}  // namespace cometstand::runtime::test
