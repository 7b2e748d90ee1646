#pragma once

#include <cstdint>
#include <string>

namespace cometstand::store {

/// Reads the replica id from the data folder, or generates and stores one if the folder has none.
/// @return the id. It is random and is synced to disk on first use of the folder, so that a replica that lost
/// its disk gets a different id.
/// @throw Error(InputOutput) if the folder cannot be used; Error(Corrupt) if the stored id cannot be parsed.
std::uint64_t replicaIdOf(const std::string& data_folder);

}  // namespace cometstand::store
