#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "schema/store_generated.h"

namespace cometstand::store {

/// Serializes a captured state into a snapshot incrementally, so that a large state does not delay the
/// heartbeats of the replica. The captured records are shared with the state machine, which never modifies a
/// record in place.
class SnapshotWriter {
 public:
  explicit SnapshotWriter(wire::StoreStateT state);

  /// Serializes at least this many records, or all that remain. All requests, or all claims, of one tenant
  /// are serialized in one step.
  /// @return true if all records have been serialized.
  bool step(std::size_t records);

  /// @return the serialized StoreState; equal states give equal bytes. To be called once, after step() has
  /// returned true.
  std::vector<std::uint8_t> take();

 private:
  template <typename Table>
  using Offsets = std::vector<flatbuffers::Offset<Table>>;

  void serializeNext();
  void finish();

  wire::StoreStateT state_;
  flatbuffers::FlatBufferBuilder builder_;
  Offsets<wire::ObjectChange> changes_;
  Offsets<wire::TenantRequests> requests_;
  Offsets<wire::TenantClaims> claims_;
  Offsets<wire::AcceptedChange> history_;
  std::size_t records_serialized_ = 0;
  bool finished_ = false;
};

}  // namespace cometstand::store
