#ifndef LYCHEESTEP_MOCK_JOB_EFFECTS_H
#define LYCHEESTEP_MOCK_JOB_EFFECTS_H

#include <string>
#include <vector>

#include <gmock/gmock.h>

#include "ignored_metrics.h"
#include "job_effects.h"

namespace lycheestep {

// Metrics are ignored unless a test expects them.
class MockJobEffects : public JobEffects
{
public:
  MockJobEffects()
  {
    ON_CALL(*this, Metrics()).WillByDefault(testing::ReturnRef(m_metrics));
  }

  MOCK_METHOD(void,
              Commit,
              (std::vector<RowWrite>, std::vector<RowKey>),
              (override));
  MOCK_METHOD(void, Start, (const StartOrder&), (override));
  MOCK_METHOD(void, Stop, (const StopOrder&), (override));
  MOCK_METHOD(void, Pace, (const PaceOrder&), (override));
  MOCK_METHOD(void, Hold, (const HoldOrder&, HoldPath), (override));
  MOCK_METHOD(void, Withdraw, (const WithdrawOrder&), (override));
  MOCK_METHOD(void, Forget, (const TargetId&), (override));
  MOCK_METHOD(bool, CanAsk, (), (const, override));
  MOCK_METHOD(void, Ask, (const AdviceRequest&, Duration), (override));
  MOCK_METHOD(AdvisorUse, GetAdvisorUse, (), (const, override));
  MOCK_METHOD(void, Log, (const std::string&, const std::string&), (override));
  MOCK_METHOD(void,
              LogNotable,
              (const std::string&, const std::string&),
              (override));
  MOCK_METHOD(void,
              LogUnlimited,
              (const std::string&, const std::string&),
              (override));
  MOCK_METHOD(MetricsSink&, Metrics, (), (override));

private:
  IgnoredMetrics m_metrics;
};

} // namespace lycheestep

#endif
