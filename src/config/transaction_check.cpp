#include "config/transaction_check.h"

#include <fmt/format.h>

#include <map>
#include <optional>
#include <string>

#include "base/error.h"
#include "config/limits.h"
#include "config/object_check.h"

namespace cometstand::config {
namespace {

/// The catalog as it would be after the transaction.
class Outlook {
 public:
  Outlook(const Catalog& catalog, const wire::TransactionT& transaction) : catalog_(catalog) {
    for (const auto& operation : transaction.operations) {
      changes_.emplace(*operation->key, operation->object.get());
      if (operation->object == nullptr) continue;
      for (const auto& reference : referencesOf(*operation->object)) {
        new_referrers_[reference].insert(*operation->key);
      }
      const auto* route = operation->object->spec.AsRouteSpec();
      if (route != nullptr) new_routes_[comparableHost(route->host)].insert(*operation->key);
    }
  }

  bool exists(const wire::ObjectKeyT& key) const { return find(key) != nullptr; }

  /// @return an object that still needs this one, or nothing.
  std::optional<wire::ObjectKeyT> referrer(const wire::ObjectKeyT& key) const {
    for (const auto& candidate : catalog_.references().referrers(key)) {
      if (!isChanged(candidate)) return candidate;
    }
    const auto found = new_referrers_.find(key);
    if (found == new_referrers_.end()) return std::nullopt;
    return *found->second.begin();
  }

  /// @return all routes of a host.
  ObjectKeySet routesOfHost(const std::string& host) const {
    ObjectKeySet routes;
    for (const auto& route : catalog_.references().routesOfHost(host)) {
      if (!isChanged(route)) routes.insert(route);
    }
    const auto found = new_routes_.find(host);
    if (found != new_routes_.end()) routes.insert(found->second.begin(), found->second.end());
    return routes;
  }

  const wire::ObjectT* find(const wire::ObjectKeyT& key) const {
    const auto changed = changes_.find(key);
    return changed != changes_.end() ? changed->second : catalog_.find(key).get();
  }

 private:
  bool isChanged(const wire::ObjectKeyT& key) const { return changes_.count(key) > 0; }

  const Catalog& catalog_;
  /// nullptr for a deletion.
  std::map<wire::ObjectKeyT, const wire::ObjectT*, ObjectKeyLess> changes_;
  std::map<wire::ObjectKeyT, ObjectKeySet, ObjectKeyLess> new_referrers_;
  std::map<std::string, ObjectKeySet> new_routes_;
};

void checkShape(const wire::TransactionT& transaction) {
  const auto count = transaction.operations.size();
  if (count == 0 || count > kMaxOperationsPerTransaction) {
    throw Error(ErrorKind::Invalid, fmt::format("a change of {} objects is out of range", count),
                fmt::format("change 1 to {} objects at once", kMaxOperationsPerTransaction));
  }
  ObjectKeySet seen;
  for (const auto& operation : transaction.operations) {
    if (operation == nullptr || operation->key == nullptr ||
        (operation->object != nullptr &&
         (operation->object->key == nullptr || !sameKey(*operation->object->key, *operation->key)))) {
      throw Error(ErrorKind::Malformed, "an operation lacks its key or names two",
                  "use a client of this release");
    }
    if (!seen.insert(*operation->key).second) {
      throw Error(ErrorKind::Invalid, fmt::format("{} is changed twice", formatKey(*operation->key)),
                  "name each object once in a change");
    }
  }
}

void checkPermission(const Actor& actor, const wire::ObjectKeyT& key) {
  if (actor.administrator) return;
  const bool is_tenants_own = key.kind == wire::ObjectKind::Service || key.kind == wire::ObjectKind::Route ||
                              key.kind == wire::ObjectKind::Secret;
  if (!is_tenants_own) {
    throw Error(ErrorKind::Forbidden, fmt::format("{} is not a tenant's to change", formatKey(key)),
                "ask an administrator of the mesh");
  }
  if (key.tenant != actor.tenant) {
    throw Error(ErrorKind::Forbidden, fmt::format("{} belongs to another tenant", formatKey(key)),
                fmt::format("change objects of tenant {} only", actor.tenant));
  }
}

void checkVersion(const Catalog& catalog, std::uint64_t if_version) {
  if (if_version == 0 || if_version == catalog.version()) return;
  throw Error(ErrorKind::Conflict,
              fmt::format("the change builds on version {}, the current version is {}", if_version,
                          catalog.version()),
              fmt::format("look at what changed since version {}, then send the change anew", if_version));
}

void checkReferences(const Outlook& outlook, const wire::ObjectT& object) {
  for (const auto& reference : referencesOf(object)) {
    if (outlook.exists(reference)) continue;
    throw Error(
        ErrorKind::Reference,
        fmt::format("{} needs {}, which does not exist", formatKey(*object.key), formatKey(reference)),
        fmt::format("create {} first or in the same change", formatKey(reference)));
  }
}

void checkDelete(const Catalog& catalog, const Outlook& outlook, const wire::ObjectKeyT& key) {
  if (catalog.find(key) == nullptr) {
    throw Error(ErrorKind::NotFound, fmt::format("{} does not exist", formatKey(key)), "check the name");
  }
  const auto referrer = outlook.referrer(key);
  if (!referrer) return;
  throw Error(ErrorKind::Reference,
              fmt::format("{} is still needed by {}", formatKey(key), formatKey(*referrer)),
              fmt::format("delete or change {} first or in the same change", formatKey(*referrer)));
}

bool sameMatch(const wire::RouteSpecT& left, const wire::RouteSpecT& right) {
  return left.path_prefix == right.path_prefix && left.method == right.method;
}

/// The host must be this tenant's alone, and no other route may match the very same requests.
void checkHostOwner(const Outlook& outlook, const wire::ObjectKeyT& key, const wire::RouteSpecT& route) {
  for (const auto& other : outlook.routesOfHost(comparableHost(route.host))) {
    if (other.tenant != key.tenant) {
      // Names neither the other tenant nor its route: tenants do not see one another's objects.
      throw Error(ErrorKind::Forbidden,
                  fmt::format("{}: host \"{}\" belongs to another tenant", formatKey(key), route.host),
                  "use a host of your own, or ask an administrator of the mesh");
    }
    if (other.name == key.name) continue;
    if (sameMatch(route, *outlook.find(other)->spec.AsRouteSpec())) {
      throw Error(ErrorKind::Invalid,
                  fmt::format("{} matches the same requests as {}", formatKey(key), formatKey(other)),
                  "give the routes different hosts, path prefixes or methods");
    }
  }
}

void checkPut(const Outlook& outlook, const wire::ObjectT& object) {
  checkReferences(outlook, object);
  const auto* route = object.spec.AsRouteSpec();
  if (route != nullptr) checkHostOwner(outlook, *object.key, *route);
}

}  // namespace

void checkTransaction(const Catalog& catalog, const Actor& actor, const wire::TransactionT& transaction) {
  checkShape(transaction);
  // Permissions first: nobody learns anything about another tenant's objects by trying.
  for (const auto& operation : transaction.operations) {
    checkKey(*operation->key);
    checkPermission(actor, *operation->key);
  }
  checkVersion(catalog, transaction.if_version);
  for (const auto& operation : transaction.operations) {
    if (operation->object != nullptr) checkObject(*operation->object);
  }
  const Outlook outlook(catalog, transaction);
  for (const auto& operation : transaction.operations) {
    if (operation->object != nullptr) {
      checkPut(outlook, *operation->object);
    } else {
      checkDelete(catalog, outlook, *operation->key);
    }
  }
}

}  // namespace cometstand::config
