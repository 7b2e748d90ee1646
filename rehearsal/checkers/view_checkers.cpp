#include "rehearsal/checkers/view_checkers.h"

#include <fmt/ranges.h>
#include <xxhash.h>

#include <algorithm>
#include <set>

namespace cometstand::checkers {
namespace {

using Name = std::pair<std::string, std::string>;

const wire::NodeSpecT* nodeOf(const ObservedView& view) {
  for (const auto& object : view.objects) {
    if (const auto* node = object->spec.AsNodeSpec()) return node;
  }
  return nullptr;
}

std::uint64_t contentHash(const ObservedView& view) {
  std::uint64_t sum = 0;
  for (const auto& object : view.objects) {
    // Nodes differ by their own object.
    if (object->key->kind == wire::ObjectKind::Node) continue;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Object::Pack(builder, object.get()));
    sum += XXH3_64bits(builder.GetBufferPointer(), builder.GetSize());
  }
  return sum;
}

}  // namespace

void VersionOrderChecker::onView(const std::string& node, std::uint64_t version, TimePoint when) {
  auto& newest = newest_[node];
  if (version < newest) {
    log_.add("version_order", when, fmt::format("{} went back from version {} to {}", node, newest, version));
  }
  newest = std::max(newest, version);
}

void ReferenceChecker::onView(const ObservedView& view, TimePoint when) {
  const auto* node = nodeOf(view);
  if (node == nullptr) {
    log_.add("references", when, fmt::format("{} holds a view without its node", view.node));
    return;
  }
  const std::set<std::string> tenants(node->tenants.begin(), node->tenants.end());
  std::set<Name> services;
  std::set<Name> secrets;
  for (const auto& object : view.objects) {
    const Name name{object->key->tenant, object->key->name};
    if (object->key->kind == wire::ObjectKind::Service) services.insert(name);
    if (object->key->kind == wire::ObjectKind::Secret) secrets.insert(name);
    if (object->key->kind == wire::ObjectKind::Credential) {
      log_.add("references", when, fmt::format("{} holds a credential of {}", view.node, name.first));
    }
    const bool foreign = object->key->kind != wire::ObjectKind::Node && !tenants.contains(name.first);
    if (foreign) {
      log_.add("references", when,
               fmt::format("{} holds {}/{} of a tenant that it does not serve", view.node, name.first,
                           name.second));
    }
  }
  for (const auto& object : view.objects) {
    const auto* route = object->spec.AsRouteSpec();
    if (route == nullptr) continue;
    const auto& tenant = object->key->tenant;
    const bool whole = services.contains({tenant, route->service}) &&
                       (route->secret.empty() || secrets.contains({tenant, route->secret}));
    if (!whole) {
      log_.add("references", when,
               fmt::format("{} at version {} holds route {}/{} without its service or secret", view.node,
                           view.version, tenant, object->key->name));
    }
  }
}

void SameViewChecker::onView(const ObservedView& view, TimePoint when) {
  const auto* node = nodeOf(view);
  if (node == nullptr) return;
  auto tenants = node->tenants;
  std::sort(tenants.begin(), tenants.end());
  const Seen now{contentHash(view), view.node};
  const auto [found, is_new] =
      seen_.try_emplace({fmt::format("{}", fmt::join(tenants, ",")), view.version}, now);
  if (!is_new && found->second.content != now.content) {
    log_.add("same_view", when,
             fmt::format("{} and {} hold different objects at version {}", found->second.node, view.node,
                         view.version));
  }
}

}  // namespace cometstand::checkers
