#include "store/snapshot_writer.h"

#include <utility>

namespace cometstand::store {

SnapshotWriter::SnapshotWriter(wire::StoreStateT state) : state_(std::move(state)) {}

bool SnapshotWriter::step(std::size_t records) {
  const std::size_t target_count = records_serialized_ + records;
  while (!finished_ && records_serialized_ < target_count) serializeNext();
  return finished_;
}

void SnapshotWriter::serializeNext() {
  if (changes_.size() < state_.changes.size()) {
    changes_.push_back(wire::CreateObjectChange(builder_, state_.changes[changes_.size()].get()));
    ++records_serialized_;
  } else if (requests_.size() < state_.requests.size()) {
    const auto& requests = *state_.requests[requests_.size()];
    requests_.push_back(wire::CreateTenantRequests(builder_, &requests));
    records_serialized_ += 1 + requests.answered.size();
  } else if (claims_.size() < state_.claims.size()) {
    const auto& claims = *state_.claims[claims_.size()];
    claims_.push_back(wire::CreateTenantClaims(builder_, &claims));
    records_serialized_ += 1 + claims.in_progress.size() + claims.finished.size();
  } else if (history_.size() < state_.history.size()) {
    history_.push_back(wire::CreateAcceptedChange(builder_, state_.history[history_.size()].get()));
    ++records_serialized_;
  } else {
    finish();
  }
}

void SnapshotWriter::finish() {
  const auto changes = builder_.CreateVector(changes_);
  const auto requests = builder_.CreateVector(requests_);
  const auto claims = builder_.CreateVector(claims_);
  const auto history = builder_.CreateVector(history_);
  flatbuffers::Offset<wire::MeshState> mesh;
  if (state_.mesh != nullptr) mesh = wire::CreateMeshState(builder_, state_.mesh.get());
  flatbuffers::Offset<wire::RolloutState> rollouts;
  if (state_.rollouts != nullptr) rollouts = wire::CreateRolloutState(builder_, state_.rollouts.get());
  flatbuffers::Offset<wire::QuarantineState> quarantine;
  if (state_.quarantine != nullptr)
    quarantine = wire::CreateQuarantineState(builder_, state_.quarantine.get());
  flatbuffers::Offset<wire::EvacuationState> evacuations;
  if (state_.evacuations != nullptr)
    evacuations = wire::CreateEvacuationState(builder_, state_.evacuations.get());
  flatbuffers::Offset<wire::QuotaLeadershipState> quota;
  if (state_.quota != nullptr) quota = wire::CreateQuotaLeadershipState(builder_, state_.quota.get());
  flatbuffers::Offset<wire::LeaveNoticeState> leave_notices;
  if (state_.leave_notices != nullptr)
    leave_notices = wire::CreateLeaveNoticeState(builder_, state_.leave_notices.get());
  builder_.Finish(wire::CreateStoreState(builder_, state_.version, state_.pruned_version, changes, requests,
                                         claims, history, mesh, rollouts, quarantine, evacuations, quota,
                                         leave_notices));
  finished_ = true;
}

std::vector<std::uint8_t> SnapshotWriter::take() {
  return {builder_.GetBufferPointer(), builder_.GetBufferPointer() + builder_.GetSize()};
}

}  // namespace cometstand::store
