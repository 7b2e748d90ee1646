#include <fmt/format.h>

#include <algorithm>

#include "operator/command.h"
#include "operator/grammar_change.h"
#include "operator/grammar_tokens.h"

namespace cometstand::command {
namespace grammar {
namespace {

constexpr Duration kDefaultWait = std::chrono::seconds(10);

// ---- show -----------------------------------------------------------------------------------------

const auto kTextComparison = [] {
  x3::symbols<Comparison> symbols;
  symbols.add("=", Comparison::Equal)("!=", Comparison::NotEqual);
  return symbols;
}();

const auto kNumberComparison = [] {
  x3::symbols<Comparison> symbols;
  symbols.add("=", Comparison::Equal)("!=", Comparison::NotEqual)("<", Comparison::Less)(
      "<=", Comparison::LessOrEqual)(">", Comparison::Greater)(">=", Comparison::GreaterOrEqual);
  return symbols;
}();

auto field(std::string_view text, ProxyField value) {
  return x3::omit[keyword(text)][([value](auto& context) { x3::_val(context).field = value; })];
}

const auto kIntoComparison = into(&ProxyCondition::comparison);

const auto kTextCondition = (field("zone", ProxyField::Zone) | field("node", ProxyField::Node)) >
                            labeled("= or !=", kTextComparison[kIntoComparison]) >
                            labeled("a name", kName[into(&ProxyCondition::text)]);

const auto kNumberCondition = (field("version", ProxyField::Version) |
                               field("view_version", ProxyField::ViewVersion)) >
                              labeled("=, !=, <, <=, > or >=", kNumberComparison[kIntoComparison]) >
                              labeled("a version", kInteger<std::uint64_t>[into(&ProxyCondition::number)]);

const auto kCondition = x3::rule<class ConditionRule, ProxyCondition>{} = kTextCondition | kNumberCondition;

const auto kAddCondition = [](auto& context) {
  x3::_val(context).conditions.push_back(std::move(x3::_attr(context)));
};

const auto kShowProxies = x3::rule<class ShowProxiesRule, ShowProxies>{} =
    keyword("proxies") >
    -(keyword("where") >
      (labeled("zone, node, version or view_version", kCondition[kAddCondition]) % keyword("and")));

const auto kShowRoute = x3::rule<class ShowRouteRule, ShowRoute>{} =
    keyword("route") > labeled("a path that begins with '/'", kPath[into(&ShowRoute::path)]) >
    -(keyword("host") > labeled("a host's name", kName[into(&ShowRoute::host)]));

const auto kShowEndpoints = x3::rule<class ShowEndpointsRule, ShowEndpoints>{} =
    keyword("endpoints") > keyword("of") >
    labeled("a service's name", kObjectName[into(&ShowEndpoints::service)]);

const auto kShowChanges = x3::rule<class ShowChangesRule, ShowChanges>{} =
    keyword("changes") > keyword("last") >
    labeled("a count", kInteger<std::uint64_t>[into(&ShowChanges::last)]);

template <typename Query>
auto plain(std::string_view text) {
  return x3::omit[keyword(text)][emitDefault<Query>()];
}

const auto kQuery = x3::rule<class QueryRule, Command>{} =
    plain<ShowVersion>("version") | kShowProxies[kEmit] | kShowRoute[kEmit] | plain<ShowRoutes>("routes") |
    plain<ShowServices>("services") | kShowEndpoints[kEmit] | kShowChanges[kEmit] |
    plain<ShowNodes>("nodes") | plain<ShowTenants>("tenants") | plain<ShowSecrets>("secrets") |
    plain<ShowReplicas>("replicas") | plain<ShowQuarantine>("quarantine") |
    plain<ShowEvacuations>("evacuations");

const auto kShow = x3::rule<class ShowRule, Command>{} =
    keyword("show") > labeled(
                          "version, proxies, route, routes, services, endpoints, changes, nodes, tenants, "
                          "secrets, replicas, quarantine or evacuations",
                          kQuery[kEmit]);

// ---- drain, stop, transfer, replicas, wait ----------------------------------------------------------

/// SERVICE/NAME, or TENANT/SERVICE/NAME.
const auto kEndpointName = x3::rule<class EndpointNameRule, DrainEndpoint>{} = x3::lexeme
    [kName[([](auto& context) { x3::_val(context).service.name = std::move(x3::_attr(context)); })] >> '/' >>
     kName[into(&DrainEndpoint::endpoint)] >> -('/' >> kName[([](auto& context) {
                                                  auto& value = x3::_val(context);
                                                  value.service.tenant = std::move(value.service.name);
                                                  value.service.name = std::move(value.endpoint);
                                                  value.endpoint = std::move(x3::_attr(context));
                                                })])];

const auto kDrain = x3::rule<class DrainRule, DrainEndpoint>{} = keyword("drain") > keyword("endpoint") >
                                                                 labeled("SERVICE/ENDPOINT",
                                                                         kEndpointName[kEmit]);

const auto kStopProxy = x3::rule<class StopProxyRule, StopProxy>{} = keyword("proxy") >
                                                                     labeled("a node's name",
                                                                             kName[into(&StopProxy::node)]);

const auto kStopRelay = x3::rule<class StopRelayRule, StopRelay>{} = keyword("relay") >
                                                                     labeled("a relay's name",
                                                                             kName[into(&StopRelay::relay)]);

const auto kStop = x3::rule<class StopRule, Command>{} = keyword("stop") >
                                                         labeled("proxy or relay",
                                                                 kStopProxy[kEmit] | kStopRelay[kEmit]);

constexpr std::string_view kReplicaLabel = "a replica's number";

const auto kTransfer = x3::rule<class TransferRule, TransferLeader>{} =
    keyword("transfer") > keyword("leader") > keyword("to") >
    labeled(kReplicaLabel, kInteger<std::uint64_t>[into(&TransferLeader::replica)]);

const auto kNewReplica = x3::rule<class NewReplicaRule, NewReplica>{} =
    kInteger<std::uint64_t>[into(&NewReplica::id)] >
    labeled("a replica's name", kName[into(&NewReplica::name)]) > keyword("at") >
    labeled("an IP address and port", kAddress[into(&NewReplica::address)]) > keyword("region") >
    labeled("a region's name", kName[into(&NewReplica::region)]);

const auto kAddReplica = x3::rule<class AddReplicaRule, AddReplica>{} =
    keyword("add") > keyword("replica") > labeled(kReplicaLabel, kNewReplica[into(&AddReplica::replica)]);

const auto kReplaceReplica = x3::rule<class ReplaceReplicaRule, ReplaceReplica>{} =
    keyword("replace") > keyword("replica") >
    labeled(kReplicaLabel, kInteger<std::uint64_t>[into(&ReplaceReplica::old_id)]) > keyword("with") >
    labeled(kReplicaLabel, kInteger<std::uint64_t>[into(&ReplaceReplica::new_id)]);

const auto kRemoveReplica = x3::rule<class RemoveReplicaRule, RemoveReplica>{} =
    keyword("remove") > keyword("replica") >
    labeled(kReplicaLabel, kInteger<std::uint64_t>[into(&RemoveReplica::id)]);

const auto kRelease = x3::rule<class ReleaseRule, ReleaseContent>{} =
    keyword("release") > keyword("content") >
    labeled("a content's digest", kName[into(&ReleaseContent::content)]);

/// @param is_evacuated what the verb orders.
auto zoneVerb(std::string_view verb, bool is_evacuated) {
  return x3::omit[keyword(verb)]
                 [([is_evacuated](auto& context) { x3::_val(context).is_evacuated = is_evacuated; })];
}

const auto kEvacuate = x3::rule<class EvacuateRule, EvacuateZone>{} =
    (zoneVerb("evacuate", true) | zoneVerb("restore", false)) > keyword("zone") >
    labeled("a zone's name", kName[into(&EvacuateZone::zone)]);

const auto kWait = x3::rule<class WaitRule, WaitInForce>{} =
    x3::omit[keyword("wait")][([](auto& context) { x3::_val(context).timeout = kDefaultWait; })] >
    keyword("version") > labeled("a version", kInteger<std::uint64_t>[into(&WaitInForce::version)]) >
    keyword("in") > keyword("force") >
    -(keyword("timeout") > labeled("a duration, such as 10s", kDuration[into(&WaitInForce::timeout)]));

// ---- Any command ------------------------------------------------------------------------------------

const auto kCommand = x3::rule<class CommandRule, Command>{} =
    kShow[kEmit] | kChange[kEmit] | kDrain[kEmit] | kStop[kEmit] | kTransfer[kEmit] | kAddReplica[kEmit] |
    kReplaceReplica[kEmit] | kRemoveReplica[kEmit] | kRelease[kEmit] | kEvacuate[kEmit] | kWait[kEmit];

const auto kWhole = x3::rule<class WholeRule, Command>{} =
    x3::expect[labeled(
        "show, change, drain, stop, transfer, add, replace, remove, release, evacuate, restore or wait",
        kCommand[kEmit])] > -x3::lit(';') > labeled("the end of the command", x3::eoi);

}  // namespace
}  // namespace grammar

namespace {

struct Position {
  std::size_t line;
  std::size_t column;
};

Position positionOf(std::string_view text, std::size_t offset) {
  const auto before = text.substr(0, offset);
  const auto line = static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1;
  const auto last_break = before.rfind('\n');
  const auto line_begin = last_break == std::string_view::npos ? 0 : last_break + 1;
  return {line, offset - line_begin + 1};
}

/// A secret's value may stand before the position, and a stray quote may have split it.
bool mayFollowSecret(std::string_view before) {
  return before.find("value") != std::string_view::npos || before.find("base64") != std::string_view::npos;
}

/// @return ", found ..." with the word at the offset; nothing where that could repeat a part of a secret.
std::string foundAt(std::string_view text, std::size_t offset) {
  constexpr std::size_t kMaxWord = 40;
  if (offset >= text.size()) return ", found the end";
  if (mayFollowSecret(text.substr(0, offset))) return {};
  std::size_t length = 0;
  while (offset + length < text.size() && length < kMaxWord &&
         grammar::isNameCharacter(text[offset + length])) {
    ++length;
  }
  if (length > 0) return fmt::format(", found '{}'", text.substr(offset, length));
  const auto byte = static_cast<unsigned char>(text[offset]);
  const bool printable = byte > ' ' && byte < 0x7f;
  return printable ? fmt::format(", found '{}'", text[offset]) : fmt::format(", found byte 0x{:02x}", byte);
}

ParseError errorAt(std::string_view text, std::size_t offset, std::string_view expected) {
  const auto position = positionOf(text, offset);
  const auto place = position.line == 1 ? fmt::format("column {}", position.column)
                                        : fmt::format("line {}, column {}", position.line, position.column);
  return {fmt::format("{}: expected {}{}", place, expected, foundAt(text, offset)),
          "see docs/LANGUAGE.md for every form", position.line, position.column};
}

}  // namespace

ParseError::ParseError(std::string message, std::string remedy, std::size_t line, std::size_t column)
    : Error(ErrorKind::Malformed, std::move(message), std::move(remedy)), line_(line), column_(column) {}

Command parseCommand(std::string_view text) {
  if (text.size() > kMaxCommandBytes) {
    throw ParseError(fmt::format("the command has more than {} bytes", kMaxCommandBytes),
                     "split it into several changes", 1, 1);
  }
  const char* position = text.data();
  const char* const end = position + text.size();
  Command command;
  try {
    grammar::x3::phrase_parse(position, end, grammar::kWhole, grammar::kSkipper, command);
  } catch (const grammar::x3::expectation_failure<const char*>& failure) {
    // The failed parser did not keep its place after the white space before it.
    const char* where = failure.where();
    grammar::x3::parse(where, end, *grammar::kSkipper);
    throw errorAt(text, static_cast<std::size_t>(where - text.data()), failure.which());
  }
  return command;
}

}  // namespace cometstand::command
