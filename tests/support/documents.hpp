#pragma once

#include "../../src/adapters/version/document_json.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace geraniumpin::test {

/// \brief Returns the address of a node in test documents; both indexes count from 1.
inline NodeAddress
NodeAt(int aDomain, int aIndex)
{
  return *NodeAddress::Parse("127." + std::to_string(aDomain) + "." + std::to_string(aIndex) +
                             ".1:7000");
}

/// \brief Returns the failure domain of a node of NodeAt.
inline std::string
DomainOf(const NodeAddress& aNode)
{
  const auto ip = aNode.Ip();
  const auto begin = ip.find('.') + 1;
  return "zone-" + ip.substr(begin, ip.find('.', begin) - begin);
}

/// \brief Parameters of MakeDocument.
struct DocumentOptions
{
  int domains_ = 3;
  int nodesPerDomain_ = 2;
  std::uint64_t version_ = 1;
  double rate_ = 100;
  int burst_ = 100;
  int slots_ = 9;
};

/// \brief Returns a document with one service, three routes, the teams "small" and "large", and a
/// key for each team.
inline nlohmann::json
MakeDocument(const DocumentOptions& aOptions)
{
  using nlohmann::json;
  json domains = json::array();
  json servers = json::array();
  for (int domain = 1; domain <= aOptions.domains_; ++domain) {
    const auto name = "zone-" + std::to_string(domain);
    domains.push_back({ { "name", name }, { "in_service", true } });
    for (int index = 1; index <= aOptions.nodesPerDomain_; ++index) {
      servers.push_back(
        { { "name", "orders-" + std::to_string(domain) + "-" + std::to_string(index) },
          { "failure_domain", name },
          { "node", NodeAt(domain, index).Text() } });
    }
  }
  json teams = json::array();
  json keys = json::array();
  for (const std::string team : { "small", "large" }) {
    teams.push_back(
      { { "name", team }, { "rate_per_s", aOptions.rate_ }, { "burst", aOptions.burst_ } });
    keys.push_back({ { "sha256", Digest::Compute("key-" + team).Hex() }, { "team", team } });
  }
  return { { "version", aOptions.version_ },
           { "failure_domains", domains },
           { "services",
             { { { "name", "orders" },
                 { "slots", aOptions.slots_ },
                 { "connections", 110 },
                 { "backend_servers", servers } } } },
           { "routes",
             { { { "name", "order" },
                 { "path_prefix", "/orders/" },
                 { "methods", { "POST" } },
                 { "service", "orders" },
                 { "access", "keyed" },
                 { "idempotent", false },
                 { "timeout_ms", 1000 } },
               { { "name", "lookup" },
                 { "path_prefix", "/orders/" },
                 { "methods", { "GET" } },
                 { "service", "orders" },
                 { "access", "keyed" },
                 { "idempotent", true },
                 { "timeout_ms", 1000 } },
               { { "name", "public" },
                 { "path_prefix", "/public/" },
                 { "methods", { "GET" } },
                 { "service", "orders" },
                 { "access", "open" },
                 { "idempotent", true },
                 { "timeout_ms", 1000 } } } },
           { "teams", teams },
           { "keys", keys } };
}

/// \brief Encodes a document; throws if it is invalid.
inline EncodedDocument
Encode(const nlohmann::json& aDocument)
{
  return EncodeDocument("test", aDocument.dump()).value();
}

/// \brief Returns the delta from an empty version to a document.
inline Delta
MakeFullDelta(const EncodedDocument& aDocument)
{
  return { .from_ = {},
           .to_ = MakeVersionId(aDocument.manifest_),
           .changed_ = aDocument.parts_,
           .removed_ = {} };
}

} // namespace geraniumpin::test
