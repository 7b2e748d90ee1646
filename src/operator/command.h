#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "runtime/process_core.h"
#include "schema/control_generated.h"

/// The query and command language. docs/LANGUAGE.md has every form.
namespace cometstand::command {

/// An object's name as written. Without a tenant it belongs to the operator's own tenant.
struct ObjectName {
  std::string tenant;
  std::string name;
};

// ---- Queries ----------------------------------------------------------------------------------

struct ShowVersion {};
struct ShowRoutes {};
struct ShowServices {};
struct ShowNodes {};
struct ShowTenants {};
/// Names only: no query gives a secret's value.
struct ShowSecrets {};
struct ShowReplicas {};
/// Requests, by content, that are refused or suspected since targets ended under them.
struct ShowQuarantine {};
/// Zones whose targets get no requests, and those that were so before.
struct ShowEvacuations {};

enum class ProxyField : std::uint8_t {
  Zone,
  Node,
  /// The version in force on the proxy: ProxyStatus.as_of.
  Version,
  /// The last version that changed the proxy's view: ProxyStatus.view_version.
  ViewVersion,
};

enum class Comparison : std::uint8_t { Equal, NotEqual, Less, LessOrEqual, Greater, GreaterOrEqual };

/// One condition of `show proxies where ...`. Text fields know Equal and NotEqual only.
struct ProxyCondition {
  ProxyField field = ProxyField::Zone;
  Comparison comparison = Comparison::Equal;
  /// For Zone and Node.
  std::string text;
  /// For Version and ViewVersion.
  std::uint64_t number = 0;
};

struct ShowProxies {
  /// All must hold.
  std::vector<ProxyCondition> conditions;
};

/// Which route a request for the path would take.
struct ShowRoute {
  std::string path;
  /// Empty for any host.
  std::string host;
};

struct ShowEndpoints {
  ObjectName service;
};

struct ShowChanges {
  /// How many, newest first.
  std::uint64_t last = 0;
};

// ---- Changes ----------------------------------------------------------------------------------

struct PutObject {
  ObjectName name;
  /// Its type tells the kind of the object.
  wire::ObjectSpecUnion spec;
};

struct DeleteObject {
  wire::ObjectKind kind = wire::ObjectKind::Tenant;
  ObjectName name;
};

using ChangeStep = std::variant<PutObject, DeleteObject>;

/// One transaction: all steps or none.
struct Change {
  /// Version the change builds on; 0 means any.
  std::uint64_t if_version = 0;
  std::vector<ChangeStep> steps;
};

// ---- Stops, replicas, waiting -----------------------------------------------------------------

struct DrainEndpoint {
  ObjectName service;
  std::string endpoint;
};

struct StopProxy {
  std::string node;
};

struct StopRelay {
  std::string relay;
};

struct TransferLeader {
  std::uint64_t replica = 0;
};

struct NewReplica {
  std::uint64_t id = 0;
  std::string name;
  runtime::Address address;
  std::string region;
};

struct AddReplica {
  NewReplica replica;
};

/// The new replica joined as a learner before, by AddReplica.
struct ReplaceReplica {
  std::uint64_t old_id = 0;
  std::uint64_t new_id = 0;
};

struct RemoveReplica {
  std::uint64_t id = 0;
};

/// Nothing is held against the content any more.
struct ReleaseContent {
  /// 32 hexadecimal digits.
  std::string content;
};

/// A zone's targets get no requests any more, or get them again.
struct EvacuateZone {
  std::string zone;
  bool is_evacuated = true;
};

/// Answers once the version is in force on every proxy, or the time limit passed.
struct WaitInForce {
  std::uint64_t version = 0;
  Duration timeout = Duration::zero();
};

using Command =
    std::variant<ShowVersion, ShowProxies, ShowRoute, ShowRoutes, ShowServices, ShowEndpoints, ShowChanges,
                 ShowNodes, ShowTenants, ShowSecrets, ShowReplicas, ShowQuarantine, ShowEvacuations, Change,
                 DrainEndpoint, StopProxy, StopRelay, TransferLeader, AddReplica, ReplaceReplica,
                 RemoveReplica, ReleaseContent, EvacuateZone, WaitInForce>;

/// A command that is not of the language. The message names line and column.
class ParseError : public Error {
 public:
  ParseError(std::string message, std::string remedy, std::size_t line, std::size_t column);

  /// Both count from 1; a column is one byte.
  std::size_t line() const { return line_; }
  std::size_t column() const { return column_; }

 private:
  std::size_t line_;
  std::size_t column_;
};

/// Longest command text, in bytes.
inline constexpr std::size_t kMaxCommandBytes = 4U * 1024U * 1024U;

/// @throw ParseError, whose kind is Malformed.
Command parseCommand(std::string_view text);

/// @return the command in its canonical form, which parseCommand() reads back. Never log it: the values of
///   secrets are in it.
std::string printCommand(const Command& command);

/// @return true for show and wait, which change nothing.
bool isQuery(const Command& command);

/// @param own_tenant the tenant of objects that are written without one.
wire::TransactionT toTransaction(const Change& change, const std::string& own_tenant);

/// @return true if the proxy meets every condition.
bool matches(const ShowProxies& query, const wire::ProxyStatusT& proxy);

}  // namespace cometstand::command
