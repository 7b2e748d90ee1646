#pragma once

#include <map>
#include <memory>
#include <string>

#include "config/catalog.h"
#include "runtime/action_queue.h"
#include "runtime/process_core.h"

namespace cometstand::rehearsal {

/// Stands in for the store where the cost of relays and proxies is measured alone: takes changes and feeds
/// relays from memory, without replicas, disk, credentials or a request table.
class MemoryStore : public runtime::ProcessCore {
 public:
  void start(const runtime::FileReader& files, TimePoint now) override;
  void onLinkOpened(runtime::LinkId, const runtime::PeerIdentity&, TimePoint) override {}
  void onLinkClosed(runtime::LinkId link, TimePoint now) override;
  void onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) override;
  void onFileWritten(runtime::WriteId, TimePoint) override {}
  void onFileFailed(runtime::WriteId, const std::string&, TimePoint) override {}
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override { return beat_at_; }
  runtime::Actions takeActions() override { return actions_.take(); }
  void beginStop(TimePoint) override { stopping_ = true; }
  bool stopped() const override { return stopping_; }

 private:
  struct Reader {
    std::string zone;
    std::shared_ptr<wire::NetworkAddressT> address;
  };

  wire::CommandReplyT execute(const wire::CommandRequestT& request);
  void follow(runtime::LinkId link, const wire::FollowRequestT& request);
  void publish(std::uint64_t from_version);
  wire::QuorumBeatT nextBeat();

  runtime::ActionQueue actions_;
  config::Catalog catalog_;
  std::map<runtime::LinkId, Reader> readers_;
  std::uint64_t round_ = 0;
  TimePoint beat_at_;
  bool stopping_ = false;
};

}  // namespace cometstand::rehearsal
