#include "store/mesh_register.h"

#include <catch2/catch.hpp>

#include "store/state_machine.h"

namespace cometstand::store {
namespace {

wire::MeshChangeT makeChange(std::uint64_t base, std::uint64_t revision, std::uint64_t content) {
  wire::MeshChangeT change;
  change.base_revision = base;
  change.revision = revision;
  change.document = {static_cast<std::uint8_t>(content)};
  change.digest = std::make_shared<wire::Digest>(content, content);
  return change;
}

/// Applies the change as a leader with the state `mesh` writes it to the log.
MeshChangeResult applyTo(MeshRegister& mesh, const wire::MeshChangeT& change) {
  return mesh.apply(mesh.encode(change));
}

}  // namespace

TEST_CASE("only the first of two changes with the same base revision is accepted") {
  MeshRegister mesh;
  CHECK(applyTo(mesh, makeChange(0, 5, 1)) == MeshChangeResult::Accepted);
  CHECK(applyTo(mesh, makeChange(0, 5, 2)) == MeshChangeResult::Conflict);
  CHECK(applyTo(mesh, makeChange(0, 7, 2)) == MeshChangeResult::Conflict);
  CHECK(mesh.revision() == 5);
  CHECK(mesh.document() == std::vector<std::uint8_t>{1});
}

TEST_CASE("a repetition of an accepted change is accepted even after later changes, and changes nothing") {
  MeshRegister mesh;
  applyTo(mesh, makeChange(0, 5, 1));
  applyTo(mesh, makeChange(5, 6, 2));
  CHECK(applyTo(mesh, makeChange(0, 5, 1)) == MeshChangeResult::Accepted);
  CHECK(mesh.revision() == 6);
}

TEST_CASE("a change whose revision is not higher than the current one is rejected as stale") {
  MeshRegister mesh;
  applyTo(mesh, makeChange(0, 5, 1));
  CHECK(applyTo(mesh, makeChange(5, 5, 2)) == MeshChangeResult::Stale);
  CHECK(applyTo(mesh, makeChange(5, 4, 2)) == MeshChangeResult::Stale);
}

TEST_CASE("a change of the current revision is encoded as a patch") {
  MeshRegister mesh;
  auto first = makeChange(0, 5, 1);
  first.document.assign(10'000, 7);
  for (std::size_t i = 0; i < first.document.size(); ++i)
    first.document[i] = static_cast<std::uint8_t>(i * i >> 3U);
  CHECK(applyTo(mesh, first) == MeshChangeResult::Accepted);
  auto second = makeChange(5, 6, 2);
  second.document = first.document;
  second.document[5'000] ^= 1U;
  const auto encoded = mesh.encode(second);
  CHECK(encoded.is_patch);
  CHECK(encoded.document.size() < 200);
  // A change with another base revision is encoded in full, so that it can be decoded without that revision.
  CHECK_FALSE(mesh.encode(makeChange(4, 6, 2)).is_patch);
  CHECK(mesh.apply(encoded) == MeshChangeResult::Accepted);
  CHECK(mesh.document() == second.document);
}

TEST_CASE("the mesh configuration and the accepted revisions are restored from a snapshot") {
  StateMachine state;
  const auto apply = [&state](const wire::MeshChangeT& change) {
    wire::StoreCommandBatchT batch;
    auto command = std::make_shared<wire::StoreCommandT>();
    command->body.Set(state.mesh().encode(change));
    batch.commands.push_back(command);
    return std::get<MeshChangeResult>(state.apply(encodeBatch(batch)).front());
  };
  CHECK(apply(makeChange(0, 5, 1)) == MeshChangeResult::Accepted);
  StateMachine restored;
  restored.restore(state.save());
  CHECK(restored.mesh().revision() == 5);
  CHECK(restored.mesh().document() == std::vector<std::uint8_t>{1});
  CHECK(restored.save() == state.save());
}

}  // namespace cometstand::store
