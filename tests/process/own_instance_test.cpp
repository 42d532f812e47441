#define BOOST_TEST_MODULE own_instance
#include "geraniumpin/process/own_instance.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;

namespace {

BackendServer
MakeServer(InstanceState aState, std::uint64_t aStartedAt)
{
  return { .name_ = "a", .state_ = aState, .startedAt_ = aStartedAt };
}

const auto kDraining = OwnInstance()
                         .After(MakeServer(InstanceState::Ready, 5))
                         .After(MakeServer(InstanceState::Draining, 5));

} // namespace

// Guards against requests at an instance that a restored store has as ready again (rule DRAIN).
BOOST_AUTO_TEST_CASE(an_instance_that_drains_accepts_no_work_before_its_next_start)
{
  const auto undone = kDraining.After(MakeServer(InstanceState::Ready, 5));
  BOOST_TEST(!undone.AcceptsWork());
  BOOST_TEST(!kDraining.AfterRemoval().After(MakeServer(InstanceState::Ready, 5)).AcceptsWork());
  const auto restarted = undone.After(MakeServer(InstanceState::Ready, 6));
  BOOST_TEST(restarted.AcceptsWork());
  BOOST_TEST(!restarted.IsSameStart(undone));
}

BOOST_AUTO_TEST_CASE(an_instance_without_a_stated_start_can_be_ready_again)
{
  const auto draining = OwnInstance().After(MakeServer(InstanceState::Draining, 0));
  BOOST_TEST(!draining.AcceptsWork());
  BOOST_TEST(draining.After(MakeServer(InstanceState::Ready, 0)).AcceptsWork());
}

BOOST_AUTO_TEST_CASE(a_removed_instance_accepts_no_work)
{
  const auto ready = OwnInstance().After(MakeServer(InstanceState::Ready, 5));
  BOOST_TEST(ready.AcceptsWork());
  BOOST_TEST(!ready.AfterRemoval().AcceptsWork());
  BOOST_TEST(ready.AfterRemoval().Name().empty());
  BOOST_TEST(ready.AfterRemoval().After(MakeServer(InstanceState::Ready, 5)).AcceptsWork());
}
