#define BOOST_TEST_MODULE document_assembly
#include "geraniumpin/version/document_assembly.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;

namespace {

PublishedDocument
Document()
{
  return { .failureDomains_ = { .documentNumber_ = 7,
                                .failureDomains_ = { { "zone-1" }, { "zone-2" } } },
           .services_ = { { .name_ = "orders", .slots_ = 1 } } };
}

PublishedInstance
Instance(const std::string& aName, const std::string& aIp, std::uint64_t aStartedAt = 1)
{
  return { .service_ = "orders",
           .backendServer_ = { .name_ = aName,
                               .failureDomain_ = "zone-1",
                               .node_ = *NodeAddress::Parse(aIp + ":7000"),
                               .startedAt_ = aStartedAt } };
}

} // namespace

BOOST_AUTO_TEST_CASE(instances_join_their_service_and_leave_it)
{
  DocumentAssembly assembly;
  BOOST_TEST(!assembly.HasDocument());
  assembly.Put("i/1", Instance("i-1", "127.0.0.1"));
  assembly.Put("config", Document());
  BOOST_REQUIRE(assembly.HasDocument());
  BOOST_TEST(assembly.Services().front().backendServers_.size() == 1U);
  assembly.Erase("i/1");
  BOOST_TEST(assembly.Services().front().backendServers_.empty());
  assembly.Erase("config");
  BOOST_TEST(!assembly.HasDocument());
}

BOOST_AUTO_TEST_CASE(an_address_belongs_to_the_instance_that_started_last)
{
  DocumentAssembly assembly;
  assembly.Put("config", Document());
  assembly.Put("i/1", Instance("i-1", "127.0.0.1", 20));
  assembly.Put("i/2", Instance("i-2", "127.0.0.1", 10));
  const auto services = assembly.Services();
  BOOST_REQUIRE(services.front().backendServers_.size() == 1U);
  BOOST_TEST(services.front().backendServers_.front().name_ == "i-1");
}

BOOST_AUTO_TEST_CASE(instances_of_unknown_services_and_failure_domains_are_left_out)
{
  DocumentAssembly assembly;
  assembly.Put("config", Document());
  auto known = Instance("i-1", "127.0.0.1");
  assembly.Put("i/1", PublishedInstance{ "unknown", known.backendServer_ });
  const BackendServer unknownDomain{ .name_ = "i-2",
                                     .failureDomain_ = "zone-9",
                                     .node_ = *NodeAddress::Parse("127.0.0.2:7000") };
  assembly.Put("i/2", PublishedInstance{ "orders", unknownDomain });
  BOOST_TEST(assembly.Services().front().backendServers_.empty());
}

BOOST_AUTO_TEST_CASE(a_failure_domain_is_out_of_service_while_its_item_exists)
{
  DocumentAssembly assembly;
  assembly.Put("config", Document());
  assembly.Put("out/zone-2", DomainOutOfService{ "zone-2" });
  BOOST_TEST(assembly.FailureDomains().failureDomains_[0].inService_);
  BOOST_TEST(!assembly.FailureDomains().failureDomains_[1].inService_);
  assembly.Erase("out/zone-2");
  BOOST_TEST(assembly.FailureDomains().failureDomains_[1].inService_);
}

BOOST_AUTO_TEST_CASE(the_result_does_not_depend_on_the_order_of_the_items)
{
  DocumentAssembly one;
  DocumentAssembly other;
  one.Put("config", Document());
  one.Put("i/1", Instance("i-1", "127.0.0.1"));
  one.Put("i/2", Instance("i-2", "127.0.0.2"));
  other.Put("i/2", Instance("i-2", "127.0.0.2"));
  other.Put("i/1", Instance("i-1", "127.0.0.1"));
  other.Put("config", Document());
  BOOST_TEST((one.Services() == other.Services()));
}
