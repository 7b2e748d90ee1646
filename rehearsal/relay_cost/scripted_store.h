#pragma once

#include <set>

#include "rehearsal/relay_cost/mesh_configuration.h"
#include "relay/configuration_index.h"
#include "runtime/action_queue.h"
#include "runtime/process_core.h"

namespace cometstand::rehearsal {

/// Plays the store's leader for relays: configuration, a beat a second, freshness answers. Accepts changes
/// from the program alone.
class ScriptedStore : public runtime::ProcessCore {
 public:
  explicit ScriptedStore(const Changes& objects);

  std::uint64_t version() const { return index_.version(); }
  /// Makes one change the next version.
  void accept(std::shared_ptr<wire::ObjectChangeT> change);

  void start(const runtime::FileReader& /*files*/, TimePoint now) override { beat_at_ = now; }
  void onLinkOpened(runtime::LinkId, const runtime::PeerIdentity&, TimePoint) override {}
  void onLinkClosed(runtime::LinkId link, TimePoint /*now*/) override { followers_.erase(link); }
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) override;
  void onFileWritten(runtime::WriteId, TimePoint) override {}
  void onFileFailed(runtime::WriteId, const std::string&, TimePoint) override {}
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override { return beat_at_; }
  runtime::Actions takeActions() override { return actions_.take(); }
  void beginStop(TimePoint /*now*/) override {}
  bool stopped() const override { return false; }

 private:
  wire::QuorumBeatT nextBeat();
  void follow(runtime::LinkId link, std::uint64_t have_version);

  relay::ConfigurationIndex index_;
  runtime::ActionQueue actions_;
  std::set<runtime::LinkId> followers_;
  std::uint64_t round_ = 0;
  TimePoint beat_at_;
};

}  // namespace cometstand::rehearsal
