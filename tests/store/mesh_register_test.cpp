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

/// The change as it comes out of the log of a leader whose state is `mesh`.
MeshChangeResult applyTo(MeshRegister& mesh, const wire::MeshChangeT& change) {
  return mesh.apply(mesh.encode(change));
}

}  // namespace

TEST_CASE("of two changes on one base the first is accepted") {
  MeshRegister mesh;
  CHECK(applyTo(mesh, makeChange(0, 5, 1)) == MeshChangeResult::Accepted);
  CHECK(applyTo(mesh, makeChange(0, 5, 2)) == MeshChangeResult::Conflict);
  CHECK(applyTo(mesh, makeChange(0, 7, 2)) == MeshChangeResult::Conflict);
  CHECK(mesh.revision() == 5);
  CHECK(mesh.document() == std::vector<std::uint8_t>{1});
}

TEST_CASE("a change that was accepted is accepted again, also after later ones, and changes nothing") {
  MeshRegister mesh;
  applyTo(mesh, makeChange(0, 5, 1));
  applyTo(mesh, makeChange(5, 6, 2));
  CHECK(applyTo(mesh, makeChange(0, 5, 1)) == MeshChangeResult::Accepted);
  CHECK(mesh.revision() == 6);
}

TEST_CASE("a revision that is not above the current one is refused") {
  MeshRegister mesh;
  applyTo(mesh, makeChange(0, 5, 1));
  CHECK(applyTo(mesh, makeChange(5, 5, 2)) == MeshChangeResult::Stale);
  CHECK(applyTo(mesh, makeChange(5, 4, 2)) == MeshChangeResult::Stale);
}

TEST_CASE("a change goes into the log as a patch of what it builds on") {
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
  // One that builds on another revision is written whole, so that it can be read whatever comes before it.
  CHECK_FALSE(mesh.encode(makeChange(4, 6, 2)).is_patch);
  CHECK(mesh.apply(encoded) == MeshChangeResult::Accepted);
  CHECK(mesh.document() == second.document);
}

TEST_CASE("the mesh configuration and the memory of accepted changes survive a snapshot") {
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
