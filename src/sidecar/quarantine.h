#pragma once

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "mesh/content_digest.h"
#include "runtime/process_core.h"
#include "sidecar/completed_contents.h"
#include "sidecar/target_watch.h"

namespace cometstand::sidecar {

/// Tracks requests that crash the targets that run them (queries of death), and reports to the stores which
/// requests the target had when it ended and which suspected ones have since been completed here.
///
/// The replicated state of the stores decides what is quarantined (store/quarantine_register.h). A sidecar
/// keeps none of it on disk: a store sends the whole list before the first configuration, so no request is
/// passed on before the list is known.
class Quarantine {
 public:
  /// Sends a message to every linked store.
  using Broadcast = std::function<void(const runtime::MessagePointer&)>;

  explicit Quarantine(Broadcast broadcast) : broadcast_(std::move(broadcast)) {}

  void apply(const wire::QuarantineUpdateT& update);
  /// A store has acknowledged the report on the end of this instance.
  void onReportAcknowledged(const std::string& instance);
  /// @return true if the request is quarantined: no target may run it.
  bool isQuarantined(const wire::ForwardRequestT& request) const;
  /// @return true if more than one target ended while it had the request, and none has completed it since.
  bool isSuspect(const wire::ForwardRequestT& request) const;

  /// Reports the requests that the target had when it ended as suspects, without those that it had completed
  /// before.
  void onTargetEnded(const TargetEnd& end, const std::string& service, TimePoint now);
  /// Handles that the target has completed the request.
  void onCompleted(const wire::ForwardRequestT& request, const mesh::Incarnation& target, TimePoint now);

  void onTimer(TimePoint now);
  TimePoint nextTimer() const { return pending_reports_.empty() ? TimePoint::max() : resend_at_; }

  /// Number of quarantined contents, which no target may run.
  std::size_t quarantined() const { return quarantined_; }
  std::size_t suspected() const { return entries_.size() - quarantined_; }

 private:
  struct Entry {
    wire::ContentState state = wire::ContentState::Suspected;
    std::uint64_t number = 0;
    /// When the stores were last informed that the content was completed.
    std::optional<TimePoint> last_clearance_at;
  };
  struct Report {
    runtime::MessagePointer message;
    std::string instance;
    TimePoint retry_until;
  };

  const Entry* find(const mesh::ContentDigest& digest) const;
  const Entry* findEntry(const wire::ForwardRequestT& request, wire::ContentState state) const;
  void applyNotice(const wire::ContentNoticeT& notice);
  void reportCleared(const mesh::ContentDigest& digest, const std::string& instance, TimePoint now);

  Broadcast broadcast_;
  std::unordered_map<mesh::ContentDigest, Entry, mesh::ContentDigestHash> entries_;
  std::size_t quarantined_ = 0;
  /// Number of the newest update that was applied.
  std::uint64_t last_update_number_ = 0;
  CompletedContents completed_contents_;
  /// Reports that no store has acknowledged yet, oldest first.
  std::list<Report> pending_reports_;
  TimePoint resend_at_;
};

}  // namespace cometstand::sidecar
