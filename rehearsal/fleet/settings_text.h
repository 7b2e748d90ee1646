#pragma once

#include <string>
#include <vector>

#include "rehearsal/fleet/deployment.h"
#include "rehearsal/fleet/member.h"

namespace cometstand::rehearsal {

/// Certificate files of one process.
struct MemberTls {
  std::string certificate;
  std::string key;
  std::string authority;
};

/// What every settings file of a fleet says of its process.
struct CommonText {
  const Member& member;
  std::string region;
  MemberTls tls;
};

/// A store replica: its identifier, which is never reused, and its process.
struct StoreReplica {
  std::uint64_t id = 0;
  const Member* member = nullptr;
};

/// Credential of the first administrator, in hexadecimal.
struct BootstrapCredential {
  std::string salt;
  std::string token_hash;
};

/// @return the settings file of a store replica. store.bootstrap is left to the command line of the first
/// start.
std::string storeSettings(const CommonText& common, std::uint64_t id,
                          const std::vector<StoreReplica>& first_voters,
                          const BootstrapCredential& credential);

/// @param stores where the relay finds the store.
std::string relaySettings(const CommonText& common, const Deployment& deployment,
                          const std::vector<const Member*>& stores, const std::vector<const Member*>& relays,
                          const Member& machine_list);

std::string proxySettings(const CommonText& common, const std::string& token,
                          const std::vector<const Member*>& relays);

}  // namespace cometstand::rehearsal
