#pragma once

#include <cstdint>
#include <string>

namespace cometstand::store {

/// @return the id of the replica whose data folder this is. It is drawn at random and synced when the folder
/// is first used, so a replica that lost its disk gets another one.
/// @throw Error(InputOutput) if the folder cannot be used; Error(Corrupt) if the stored id cannot be read.
std::uint64_t replicaIdOf(const std::string& data_folder);

}  // namespace cometstand::store
