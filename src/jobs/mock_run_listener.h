#ifndef LYCHEESTEP_MOCK_RUN_LISTENER_H
#define LYCHEESTEP_MOCK_RUN_LISTENER_H

#include <gmock/gmock.h>

#include "run_listener.h"

namespace lycheestep {

class MockRunListener : public RunListener
{
public:
  MOCK_METHOD(void,
              OnRunProgress,
              (const TargetId&, const RunningTask&, TimePoint),
              (override));
  MOCK_METHOD(void,
              OnRunEnded,
              (const TargetId&, const EndedTask&, TimePoint),
              (override));
  MOCK_METHOD(void,
              OnRunLost,
              (const TargetId&, const RunName&, OrderStatus),
              (override));
};

} // namespace lycheestep

#endif
