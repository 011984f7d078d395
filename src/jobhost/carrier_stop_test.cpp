// A test of the end of a carrier that has orders in flight.
#include <chrono>
#include <cstdint>
#include <cstdlib>

#include <gmock/gmock.h>

#include "boot_clock.h"
#include "event_log.h"
#include "jobs.pb.h"
#include "metrics_registry.h"
#include "mock_target_orders.h"
#include "order_carrier.h"
#include "order_messages.h"

namespace lycheestep {

namespace {

constexpr int kRounds = 3000;
constexpr std::uint32_t kOrders = 200;

// Returns a message with starts for one target.
proto::JobPeerMessage MakeStarts()
{
  proto::JobPeerMessage message;
  message.set_incarnation(7);
  message.set_address("leader:1");
  proto::CarriedOrders& orders = *message.mutable_carried_orders();
  orders.set_not_after_ms(ToMilliseconds(BootClockNow().time_since_epoch() +
                                         std::chrono::seconds(100)));
  for (std::uint32_t id = 1; id <= kOrders; ++id) {
    StartOrder order;
    order.m_to.m_target = TargetId("t1");
    order.m_to.m_fence = 1;
    order.m_run.m_run = id;
    proto::CarriedOrder& carried = *orders.add_order();
    EncodeStart(order, carried);
    carried.set_id(id);
  }
  return message;
}

// Stops carriers right after they were handed orders.
void StopCarriers()
{
  MetricsRegistry metrics;
  EventLog log("test", metrics);
  testing::NiceMock<MockTargetOrders> targets;
  for (int round = 0; round < kRounds; ++round) {
    OrderCarrier carrier(
      targets,
      log,
      metrics,
      [](const std::string& /*aAddress*/, const proto::JobPeerMessage&) {});
    carrier.Carry(MakeStarts());
    carrier.Stop();
  }
}

} // namespace

// Guards against a process that ends by a signal when it stops, since the
// thread of a connection is the last to hold its session and waits for itself.
TEST(CarrierStop, StopsWhileOrdersAreInFlight)
{
  testing::FLAGS_gtest_death_test_style = "threadsafe";
  EXPECT_EXIT(
    {
      StopCarriers();
      std::exit(EXIT_SUCCESS);
    },
    testing::ExitedWithCode(EXIT_SUCCESS),
    "");
}

} // namespace lycheestep
