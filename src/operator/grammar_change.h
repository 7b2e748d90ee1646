#pragma once

#include <utility>

#include "operator/grammar_tokens.h"

/// The `change` command. Included only by parser.cpp.
namespace cometstand::command::grammar {

// ---- Actions ------------------------------------------------------------------------------------

/// The rule's value is a PutObject whose spec the attribute becomes.
inline const auto kIntoSpec = [](auto& context) {
  x3::_val(context).spec.Set(std::move(x3::_attr(context)));
};

inline const auto kIntoName = into(&PutObject::name);

/// For objects that are not written with a tenant prefix.
inline const auto kIntoPlainName = [](auto& context) {
  x3::_val(context).name.name = std::move(x3::_attr(context));
};

/// An object's spec while its options are read, with one bit for each option that was given.
template <typename Spec>
struct Draft {
  Spec spec;
  std::uint32_t given = 0;
};

/// @return a semantic action that stores the attribute in a field of the draft's spec.
template <typename Member>
auto intoDraft(Member member) {
  return [member](auto& context) { x3::_val(context).spec.*member = std::move(x3::_attr(context)); };
}

/// @return a keyword that one draft takes once only.
inline auto option(std::string_view text, std::uint32_t bit) {
  return x3::omit[keyword(text)][([bit](auto& context) {
    auto& given = x3::_val(context).given;
    x3::_pass(context) = (given & bit) == 0;
    given |= bit;
  })];
}

inline const auto kDraftIntoSpec = [](auto& context) {
  x3::_val(context).spec.Set(std::move(x3::_attr(context).spec));
};

// ---- Tenant, credential, node ---------------------------------------------------------------------

using TenantDraft = Draft<wire::TenantSpecT>;
inline const auto kTenantOptions = x3::rule<class TenantOptionsRule, TenantDraft>{} =
    x3::eps >>
    *(option("max_in_flight", 1U) >
      labeled("a count of requests", kInteger<std::uint32_t>[intoDraft(&wire::TenantSpecT::max_in_flight)]));

inline const auto kPutTenant = x3::rule<class PutTenantRule, PutObject>{} =
    keyword("tenant") > labeled("a tenant's name", kName[kIntoPlainName]) > kTenantOptions[kDraftIntoSpec];

inline const auto kHexLabel = "an even number of hexadecimal digits";

using CredentialDraft = Draft<wire::CredentialSpecT>;
inline const auto kCredentialOptions = x3::rule<class CredentialOptionsRule, CredentialDraft>{} =
    keyword("token_hash") > labeled(kHexLabel, kHex[intoDraft(&wire::CredentialSpecT::token_hash)]) >
    keyword("salt") > labeled(kHexLabel, kHex[intoDraft(&wire::CredentialSpecT::salt)]) >
    -keyword("administrator")[([](auto& context) { x3::_val(context).spec.administrator = true; })];

inline const auto kIntoTenant = [](auto& context) {
  x3::_val(context).name.tenant = std::move(x3::_attr(context));
};

inline const auto kPutCredential = x3::rule<class PutCredentialRule, PutObject>{} =
    keyword("credential") > labeled("a credential's name", kObjectName[kIntoName]) >
    -(keyword("tenant") >
      labeled("a tenant's name", kName[kIntoTenant])) > kCredentialOptions[kDraftIntoSpec];

inline const auto kAddTenant = [](auto& context) {
  x3::_val(context).spec.tenants.push_back(std::move(x3::_attr(context)));
};

using NodeDraft = Draft<wire::NodeSpecT>;
inline const auto kNodeOptions = x3::rule<class NodeOptionsRule, NodeDraft>{} =
    keyword("zone") > labeled("a zone's name", kName[intoDraft(&wire::NodeSpecT::zone)]) >
    keyword("tenants") > '(' > -(labeled("a tenant's name", kName[kAddTenant]) % ',') > ')' >
    -(keyword("token_hash") > labeled(kHexLabel, kHex[intoDraft(&wire::NodeSpecT::token_hash)]) >
      keyword("salt") > labeled(kHexLabel, kHex[intoDraft(&wire::NodeSpecT::salt)]));

inline const auto kPutNode = x3::rule<class PutNodeRule, PutObject>{} =
    keyword("node") > labeled("a node's name", kName[kIntoPlainName]) > kNodeOptions[kDraftIntoSpec];

// ---- Service ------------------------------------------------------------------------------------

inline const auto kIntoEndpointAddress = [](auto& context) {
  x3::_val(context).spec.address = x3::_attr(context).host;
  x3::_val(context).spec.port = x3::_attr(context).port;
};

using EndpointDraft = Draft<wire::EndpointSpecT>;
inline const auto kEndpoint = x3::rule<class EndpointRule, EndpointDraft>{} =
    keyword("endpoint") > labeled("an endpoint's name", kName[intoDraft(&wire::EndpointSpecT::name)]) >
    keyword("at") > labeled("an IP address and port", kAddress[kIntoEndpointAddress]) > keyword("zone") >
    labeled("a zone's name", kName[intoDraft(&wire::EndpointSpecT::zone)]) >
    *((option("slots", 1U) >
       labeled("a count of slots", kInteger<std::uint32_t>[intoDraft(&wire::EndpointSpecT::slots)])) |
      (option("connections", 2U) >
       labeled("a count of connections",
               kInteger<std::uint32_t>[intoDraft(&wire::EndpointSpecT::max_connections)])));

/// A ';', which may be left out before a closing brace.
inline const auto kStepEnd = labeled("another option, ';' or '}'", x3::lit(';') | &x3::lit('}'));

inline const auto kAddEndpoint = [](auto& context) {
  auto endpoint = std::make_shared<wire::EndpointSpecT>(std::move(x3::_attr(context).spec));
  x3::_val(context).endpoints.push_back(std::move(endpoint));
};

inline const auto kServiceBody = x3::rule<class ServiceBodyRule, wire::ServiceSpecT>{} =
    '{' > *(kEndpoint[kAddEndpoint] > kStepEnd) > labeled("endpoint or '}'", x3::lit('}'));

inline const auto kPutService = x3::rule<class PutServiceRule, PutObject>{} =
    keyword("service") > labeled("a service's name", kObjectName[kIntoName]) >
    labeled("'{' and endpoints", kServiceBody[kIntoSpec]);

// ---- Route ----------------------------------------------------------------------------------------

inline const auto kRequestClass = [] {
  x3::symbols<wire::RequestClass> symbols;
  symbols.add("interactive", wire::RequestClass::Interactive)("commit", wire::RequestClass::Commit)(
      "bulk", wire::RequestClass::Bulk)("leisure", wire::RequestClass::Leisure);
  return symbols;
}();

using RouteDraft = Draft<wire::RouteSpecT>;
inline const auto kRouteMatch =
    -(keyword("host") > labeled("a host's name", kName[intoDraft(&wire::RouteSpecT::host)])) >>
    (keyword("path") >
     labeled("a path that begins with '/'", kPath[intoDraft(&wire::RouteSpecT::path_prefix)])) >>
    -(keyword("method") > labeled("an HTTP method", kName[intoDraft(&wire::RouteSpecT::method)]));

inline const auto kRouteOption =
    (option("secret", 1U) > labeled("a secret's name", kName[intoDraft(&wire::RouteSpecT::secret)])) |
    (option("class", 2U) >
     labeled("interactive, commit, bulk or leisure",
             x3::lexeme[kRequestClass >> kWordEnd][intoDraft(&wire::RouteSpecT::request_class)])) |
    (option("timeout", 4U) > labeled("a duration of whole milliseconds, such as 2s",
                                     kMilliseconds[intoDraft(&wire::RouteSpecT::timeout_ms)])) |
    (option("retries", 8U) >
     labeled("a count of retries", kInteger<std::uint32_t>[intoDraft(&wire::RouteSpecT::max_retries)])) |
    option("repeatable", 16U)[([](auto& context) { x3::_val(context).spec.repeatable = true; })];

inline const auto kRoute = x3::rule<class RouteRule, RouteDraft>{} =
    labeled("host or path", kRouteMatch) > keyword("to") >
    labeled("a service's name", kName[intoDraft(&wire::RouteSpecT::service)]) > *kRouteOption;

inline const auto kPutRoute = x3::rule<class PutRouteRule, PutObject>{} = keyword("route") >
                                                                          labeled("a route's name",
                                                                                  kObjectName[kIntoName]) >
                                                                          labeled("host or path",
                                                                                  kRoute[kDraftIntoSpec]);

// ---- Secret, delete, change -----------------------------------------------------------------------

inline const auto kIntoSecretValue = into(&wire::SecretSpecT::value);
inline const auto kSecretValue = x3::rule<class SecretValueRule, wire::SecretSpecT>{} =
    (keyword("value") > labeled("a string in quotes", kQuotedBytes[kIntoSecretValue])) |
    (keyword("base64") > labeled("base64 in quotes", kBase64[kIntoSecretValue]));

inline const auto kPutSecret = x3::rule<class PutSecretRule, PutObject>{} = keyword("secret") >
                                                                            labeled("a secret's name",
                                                                                    kObjectName[kIntoName]) >
                                                                            labeled("value or base64",
                                                                                    kSecretValue[kIntoSpec]);

inline const auto kPut = x3::rule<class PutRule, PutObject>{} = kPutTenant[kEmit] | kPutCredential[kEmit] |
                                                                kPutNode[kEmit] | kPutService[kEmit] |
                                                                kPutRoute[kEmit] | kPutSecret[kEmit];

inline auto deleteOf(std::string_view text, wire::ObjectKind kind) {
  return x3::omit[keyword(text)][([kind](auto& context) { x3::_val(context).kind = kind; })];
}

inline const auto kKindToDelete =
    deleteOf("tenant", wire::ObjectKind::Tenant) | deleteOf("credential", wire::ObjectKind::Credential) |
    deleteOf("node", wire::ObjectKind::Node) | deleteOf("service", wire::ObjectKind::Service) |
    deleteOf("route", wire::ObjectKind::Route) | deleteOf("secret", wire::ObjectKind::Secret);

inline const auto kDelete = x3::rule<class DeleteRule, DeleteObject>{} =
    labeled("tenant, credential, node, service, route or secret", kKindToDelete) >
    labeled("an object's name", kObjectName[into(&DeleteObject::name)]);

inline const auto kStep = x3::rule<class StepRule, ChangeStep>{} =
    (keyword("put") > labeled("tenant, credential, node, service, route or secret", kPut[kEmit])) |
    (keyword("delete") > kDelete[kEmit]);

inline const auto kAddStep = [](auto& context) {
  x3::_val(context).steps.push_back(std::move(x3::_attr(context)));
};

inline const auto kChange = x3::rule<class ChangeRule, Change>{} =
    keyword("change") > -(keyword("if") > keyword("version") >
                          labeled("a version", kInteger<std::uint64_t>[into(&Change::if_version)])) >
    labeled("'{'", x3::lit('{')) > labeled("put or delete", +(kStep[kAddStep] > kStepEnd)) >
    labeled("put, delete or '}'", x3::lit('}'));

}  // namespace cometstand::command::grammar
