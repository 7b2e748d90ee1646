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

}  // namespace

TEST_CASE("of two changes on one base the first is accepted") {
  MeshRegister mesh;
  CHECK(mesh.apply(makeChange(0, 5, 1)) == MeshChangeResult::Accepted);
  CHECK(mesh.apply(makeChange(0, 5, 2)) == MeshChangeResult::Conflict);
  CHECK(mesh.apply(makeChange(0, 7, 2)) == MeshChangeResult::Conflict);
  CHECK(mesh.revision() == 5);
  CHECK(mesh.document() == std::vector<std::uint8_t>{1});
}

TEST_CASE("a change that was accepted is accepted again, also after later ones, and changes nothing") {
  MeshRegister mesh;
  mesh.apply(makeChange(0, 5, 1));
  mesh.apply(makeChange(5, 6, 2));
  CHECK(mesh.apply(makeChange(0, 5, 1)) == MeshChangeResult::Accepted);
  CHECK(mesh.revision() == 6);
}

TEST_CASE("a revision that is not above the current one is refused") {
  MeshRegister mesh;
  mesh.apply(makeChange(0, 5, 1));
  CHECK(mesh.apply(makeChange(5, 5, 2)) == MeshChangeResult::Stale);
  CHECK(mesh.apply(makeChange(5, 4, 2)) == MeshChangeResult::Stale);
}

TEST_CASE("the mesh configuration and the memory of accepted changes survive a snapshot") {
  StateMachine state;
  const auto apply = [&state](const wire::MeshChangeT& change) {
    wire::StoreCommandBatchT batch;
    auto command = std::make_shared<wire::StoreCommandT>();
    command->body.Set(wire::MeshChangeT(change));
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
