#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "schema/store_generated.h"

namespace cometstand::store {

/// Packs a captured state into the bytes of a snapshot, in slices, so that a large state never keeps a
/// replica from its heartbeats. The captured records are shared with the state machine, which never changes a
/// record in place.
class SnapshotWriter {
 public:
  explicit SnapshotWriter(wire::StoreStateT state);

  /// Packs at least this many records, fewer only at the end. A tenant's requests or claims go in one piece.
  /// @return true once all are packed.
  bool step(std::size_t records);

  /// @return the bytes of a StoreState; equal states give equal bytes. Call it once, after step() gave true.
  std::vector<std::uint8_t> take();

 private:
  template <typename Table>
  using Offsets = std::vector<flatbuffers::Offset<Table>>;

  void packNext();
  void finish();

  wire::StoreStateT state_;
  flatbuffers::FlatBufferBuilder builder_;
  Offsets<wire::ObjectChange> changes_;
  Offsets<wire::TenantRequests> requests_;
  Offsets<wire::TenantClaims> claims_;
  Offsets<wire::AcceptedChange> history_;
  std::size_t records_packed_ = 0;
  bool finished_ = false;
};

}  // namespace cometstand::store
