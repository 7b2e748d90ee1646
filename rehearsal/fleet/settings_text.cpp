#include "rehearsal/fleet/settings_text.h"

#include <fmt/format.h>

namespace cometstand::rehearsal {

namespace {

/// @return `["127.0.0.1:1", "127.0.0.1:2"]`
std::string addressList(const std::vector<const Member*>& members, const Member* left_out = nullptr) {
  std::string list = "[";
  for (const auto* member : members) {
    if (member != left_out)
      list += fmt::format("{}\"{}\"", list.size() > 1 ? ", " : "", member->port().text());
  }
  return list + "]";
}

std::string commonSettings(const CommonText& common) {
  std::string text = fmt::format("zone = \"{}\"\nregion = \"{}\"\n", common.member.zone(), common.region);
  text += fmt::format("[listen]\naddress = \"{}\"\n", common.member.port().text());
  text += fmt::format("[admin]\naddress = \"{}\"\n", common.member.adminPort().text());
  if (common.member.plan().role != MemberRole::Relay) {
    text += fmt::format("[data]\nfolder = \"{}\"\n", common.member.dataFolder().string());
  }
  text += fmt::format("[tls]\ncertificate = \"{}\"\nkey = \"{}\"\nauthority = \"{}\"\n",
                      common.tls.certificate, common.tls.key, common.tls.authority);
  return text;
}

}  // namespace

std::string storeSettings(const CommonText& common, std::uint64_t id,
                          const std::vector<StoreReplica>& first_voters,
                          const BootstrapCredential& credential) {
  std::string text = commonSettings(common);
  text += fmt::format("[store]\nid = {}\nname = \"{}\"\n", id, common.member.name());
  text += fmt::format("bootstrap_salt = \"{}\"\nbootstrap_token_hash = \"{}\"\n", credential.salt,
                      credential.token_hash);
  for (const auto& voter : first_voters) {
    text += fmt::format("[[store.replicas]]\nid = {}\nname = \"{}\"\naddress = \"{}\"\nregion = \"{}\"\n",
                        voter.id, voter.member->name(), voter.member->port().text(), common.region);
  }
  return text;
}

std::string relaySettings(const CommonText& common, const Deployment& deployment,
                          const std::vector<const Member*>& stores, const std::vector<const Member*>& relays,
                          const Member& machine_list) {
  std::string text = commonSettings(common);
  text += fmt::format("[relay]\nname = \"{}\"\nstores = {}\npeers = {}\n", common.member.name(),
                      addressList(stores), addressList(relays, &common.member));
  text += fmt::format("machine_list = \"{}\"\nbatch_window = \"{}ms\"\n", machine_list.port().text(),
                      ceilMilliseconds(deployment.batch_window));
  return text;
}

std::string proxySettings(const CommonText& common, const std::string& token,
                          const std::vector<const Member*>& relays) {
  std::string text = commonSettings(common);
  text += fmt::format("[proxy]\nnode = \"{}\"\ntoken = \"{}\"\nlisten = \"{}\"\n", common.member.name(),
                      token, common.member.callerPort().text());
  for (const auto* relay : relays) {
    text += fmt::format("[[proxy.relays]]\naddress = \"{}\"\nzone = \"{}\"\n", relay->port().text(),
                        relay->zone());
  }
  return text;
}

}  // namespace cometstand::rehearsal
