#pragma once

#include <memory>

#include "mesh/compression.h"
#include "schema/mesh_generated.h"

namespace cometstand::mesh {

/// Longest timeout that a route may have.
inline constexpr std::uint32_t kMaxTimeoutMs = 10 * 60 * 1000;
/// An objective reaches or passes its route's timeout by less than this.
inline constexpr std::uint32_t kMaxObjectiveExcessMs = 60 * 1000;

/// @return bytes of a MeshConfiguration. Equal configurations give equal bytes.
Bytes encodeConfiguration(const wire::MeshConfigurationT& configuration);

/// @throw Error(Malformed) if the bytes are no MeshConfiguration.
wire::MeshConfigurationT decodeConfiguration(const Bytes& bytes);

/// @throw Error(Invalid) or Error(Reference) if the configuration must not be accepted: a route without a
/// host, with a prefix that does not begin and end with a slash, with a time out of range or of a service
/// that is not there, two routes of the same place, a service with a rate below zero, or tenants with one
/// name or a key in common.
void checkConfiguration(const wire::MeshConfigurationT& configuration);

}  // namespace cometstand::mesh
