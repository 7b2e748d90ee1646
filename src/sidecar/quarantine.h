#pragma once

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "mesh/content_digest.h"
#include "runtime/process_core.h"
#include "sidecar/run_memory.h"
#include "sidecar/target_watch.h"

namespace cometstand::sidecar {

/// What this sidecar knows of requests that end the targets that run them (queries of death), and what it
/// tells the stores: which requests its target had when it ended, and which suspects have run to their end
/// here.
///
/// Who judges is the replicated state of the stores (store/quarantine_register.h). A sidecar keeps nothing on
/// disk; a store tells it all before the first configuration, so that no request is passed on without that
/// knowledge.
class Quarantine {
 public:
  /// Sends the message to every linked store.
  using Broadcast = std::function<void(const runtime::MessagePointer&)>;

  explicit Quarantine(Broadcast broadcast) : broadcast_(std::move(broadcast)) {}

  void apply(const wire::QuarantineUpdateT& update);
  /// A store has the report on the end of this instance.
  void onReportTaken(const std::string& instance);
  /// @return true if nobody may run the request.
  bool blocks(const wire::ForwardRequestT& request) const;
  /// @return true if the request was at targets when they ended, more than once, and has not run to its end
  /// since.
  bool isSuspect(const wire::ForwardRequestT& request) const;

  /// The target ended. What it has run to its end before is no suspect.
  void onTargetEnded(const TargetEnd& end, const std::string& service, TimePoint now);
  /// The target has run the request to its end.
  void onRunToEnd(const wire::ForwardRequestT& request, const mesh::Incarnation& target, TimePoint now);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const { return reports_.empty() ? TimePoint::max() : resend_at_; }

  /// Contents that nobody may run.
  std::size_t quarantined() const { return quarantined_; }
  std::size_t suspected() const { return entries_.size() - quarantined_; }

 private:
  struct Entry {
    wire::ContentState state = wire::ContentState::Suspected;
    std::uint64_t number = 0;
    /// When the stores were told last that it has run to its end.
    std::optional<TimePoint> cleared_at;
  };
  struct Report {
    runtime::MessagePointer message;
    std::string instance;
    TimePoint until;
  };

  const Entry* find(const mesh::ContentDigest& digest) const;
  const Entry* entryOf(const wire::ForwardRequestT& request, wire::ContentState state) const;
  void put(const wire::ContentNoticeT& notice);
  void clear(const mesh::ContentDigest& digest, const std::string& instance, TimePoint now);

  Broadcast broadcast_;
  std::unordered_map<mesh::ContentDigest, Entry, mesh::ContentDigestHash> entries_;
  std::size_t quarantined_ = 0;
  /// Of the newest change that is known.
  std::uint64_t number_ = 0;
  RunMemory memory_;
  /// Not known to have been taken, the oldest first.
  std::list<Report> reports_;
  TimePoint resend_at_;
};

}  // namespace cometstand::sidecar
