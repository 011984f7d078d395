#ifndef LYCHEESTEP_MOCK_TARGET_ORDERS_H
#define LYCHEESTEP_MOCK_TARGET_ORDERS_H

#include <gmock/gmock.h>

#include "lycheestep/target_orders.h"

namespace lycheestep {

class MockTargetOrders : public TargetOrders
{
public:
  MOCK_METHOD(OrderAnswer, Start, (const StartOrder&, Duration), (override));
  MOCK_METHOD(OrderAnswer, Stop, (const StopOrder&, Duration), (override));
  MOCK_METHOD(OrderAnswer, Pace, (const PaceOrder&, Duration), (override));
  MOCK_METHOD(HoldAnswer, Hold, (const HoldOrder&, Duration), (override));
};

} // namespace lycheestep

#endif
