#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/object_key.h"
#include "schema/objects_generated.h"

namespace cometstand::config {

using ObjectKeySet = std::set<wire::ObjectKeyT, ObjectKeyLess>;

/// @return the keys that the object needs to exist: a route its service and secret, every tenant's object its
/// tenant, a node its tenants.
std::vector<wire::ObjectKeyT> referencesOf(const wire::ObjectT& object);

/// @return the host in the form in which hosts are compared: lower case.
std::string comparableHost(const std::string& host);

/// Finds who refers to an object and which routes use a host. Kept by the catalog as objects change.
class ReferenceIndex {
 public:
  void add(const wire::ObjectT& object);
  void remove(const wire::ObjectT& object);

  /// @return the objects that need this one.
  const ObjectKeySet& referrers(const wire::ObjectKeyT& key) const;

  /// @return the routes of a host in comparable form; the empty host is one like any other.
  const ObjectKeySet& routesOfHost(const std::string& comparable_host) const;

 private:
  std::map<wire::ObjectKeyT, ObjectKeySet, ObjectKeyLess> referrers_;
  std::map<std::string, ObjectKeySet> routes_by_host_;
};

}  // namespace cometstand::config
