#include "store/store_core.h"

#include "store/store_replica.h"

namespace cometstand::store {

StoreCore::StoreCore(const StoreOptions& options, std::uint64_t seed)
    : parts_(std::make_unique<StoreReplica>(options, seed)) {}

StoreCore::~StoreCore() = default;

void StoreCore::start(const runtime::FileReader& files, TimePoint now) { parts_->start(files, now); }

void StoreCore::onLinkOpened(runtime::LinkId link, const runtime::PeerIdentity& peer, TimePoint now) {
  parts_->onLinkOpened(link, peer, now);
}

void StoreCore::onLinkClosed(runtime::LinkId link, TimePoint now) { parts_->onLinkClosed(link, now); }

void StoreCore::onMessage(runtime::LinkId link, const wire::EnvelopeT& message, TimePoint now) {
  parts_->onMessage(link, message, now);
}

void StoreCore::onFileWritten(runtime::WriteId write, TimePoint now) { parts_->onFileWritten(write, now); }

void StoreCore::onFileFailed(runtime::WriteId write, const std::string& reason, TimePoint now) {
  parts_->onFileFailed(write, reason, now);
}

void StoreCore::onTimer(TimePoint now) { parts_->onTimer(now); }

TimePoint StoreCore::nextTimer() const { return parts_->nextTimer(); }

runtime::Actions StoreCore::takeActions() { return parts_->takeActions(); }

void StoreCore::beginStop(TimePoint now) { parts_->beginStop(now); }

bool StoreCore::stopped() const { return parts_->stopped(); }

void StoreCore::changeMesh(const wire::MeshChangeT& change, const MeshAnswerHandler& handler, TimePoint now) {
  parts_->changeMesh(change, handler, now);
}

void StoreCore::readMesh(MeshAnswerHandler handler, TimePoint now) {
  parts_->readMesh(std::move(handler), now);
}

void StoreCore::orderRollout(const wire::RolloutOrderT& order, const RolloutAnswerHandler& handler,
                             TimePoint now) {
  parts_->orderRollout(order, handler, now);
}

void StoreCore::readRollout(const std::string& service, RolloutAnswerHandler handler, TimePoint now) {
  parts_->readRollout(service, std::move(handler), now);
}

void StoreCore::orderEvacuation(const wire::EvacuationOrderT& order, const EvacuationAnswerHandler& handler,
                                TimePoint now) {
  parts_->orderEvacuation(order, handler, now);
}

void StoreCore::setSeeds(std::vector<runtime::Address> seeds) { parts_->setSeeds(std::move(seeds)); }

consensus::Leadership StoreCore::leadership() const { return parts_->consensus().leadership(); }

wire::MembershipT StoreCore::membership() const { return parts_->consensus().membership(); }

const StateMachine& StoreCore::stateMachine() const { return parts_->state(); }

StoreMetrics StoreCore::metrics() const { return parts_->metrics(); }

void StoreCore::checkInvariants() const { parts_->checkInvariants(); }

}  // namespace cometstand::store
