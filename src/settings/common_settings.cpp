#include "settings/common_settings.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "base/error.h"
#include "base/event_log.h"

namespace cometstand::settings {
namespace {

// In the order of LogLevel.
constexpr std::array<std::string_view, 4> kLogLevels{"debug", "info", "warning", "error"};

void declareOverloadSettings(SettingsTable& table, overload::OverloadOptions& options) {
  table.integer<unsigned>(
      "overload.memory_mb", options.memory_mb, {32, 1'000'000},
      "Memory that the process may use, in units of 1,000,000 bytes. Requests are refused, and slow clients "
      "disconnected, before it would be exceeded.");
  table.number(
      "overload.client_memory_share", options.client_memory_share, {0.1, 0.9},
      "Share of overload.memory_mb for bytes of clients: requests and answers while they are held. The "
      "largest body that is accepted must fit into seven eighths of it.");
  table.integer<unsigned>(
      "overload.max_descriptors", options.max_descriptors, {256, 1'000'000},
      "File descriptors that the process may have open. Each address gets a share of them "
      "for its connections.");
}

}  // namespace

void declareTlsSettings(SettingsTable& table, TlsSettings& settings) {
  table.flag("tls.enabled", settings.enabled,
             "Mutual TLS on every link between processes and with operators. False means plain TCP, without "
             "any check of who is at the other end: only for tests on one machine.");
  table.text(
      "tls.certificate", settings.certificate,
      "PEM file with this process's certificate; its subject says the role (OU), the name (CN) and, for "
      "operators, the tenant (O).");
  table.text("tls.key", settings.key, "PEM file with the certificate's private key.");
  table.text("tls.authority", settings.authority,
             "PEM file with the certificates of the authorities that sign the other processes.");
  table.check([&settings] {
    const bool complete =
        !settings.certificate.empty() && !settings.key.empty() && !settings.authority.empty();
    if (!settings.enabled || complete) return;
    throw Error(ErrorKind::Invalid, "tls.enabled is true, but a file is missing",
                "set tls.certificate, tls.key and tls.authority, or, only for tests, tls.enabled = false");
  });
}

void declareCommonSettings(SettingsTable& table, CommonSettings& settings) {
  table.choice("log.level", settings.log_level, {kLogLevels.begin(), kLogLevels.end()},
               "Events below this level are dropped.");
  table.choice(
      "log.format", settings.log_format, {"json", "text"},
      "json: one object a line on standard output, bounded and never waited for; text: lines on standard "
      "error.");
  table.address("listen.address", settings.listen, "Where the process accepts links from other processes.");
  table.address("admin.address", settings.admin,
                "Where /metrics, /live and /ready are served over HTTP; none if not given.");
  table.text("data.folder", settings.data_folder, "The one folder for the process's files.");
  table.text("zone", settings.zone, "Zone of this machine.");
  table.text("region", settings.region, "Region of this machine.");
  declareTlsSettings(table, settings.tls);
  declareOverloadSettings(table, settings.overload);
}

void applyLogLevel(const CommonSettings& settings) {
  const auto* const found = std::find(kLogLevels.begin(), kLogLevels.end(), settings.log_level);
  if (found == kLogLevels.end()) return;
  setLogLevel(static_cast<LogLevel>(found - kLogLevels.begin()));
}

}  // namespace cometstand::settings
