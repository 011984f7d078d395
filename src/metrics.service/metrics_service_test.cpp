#include "metrics_service.h"

#include <gmock/gmock.h>

#include <chrono>

namespace lycheestep {
namespace {

using testing::HasSubstr;

TEST(MetricsServiceTest, RendersCountersAndCumulativeBuckets)
{
  MetricsService metrics;
  LogDecision decision;
  decision.m_kind = KindName("a\"b");
  decision.m_waited = std::chrono::milliseconds(3);
  metrics.CountDecision(decision);
  decision.m_waited = std::chrono::minutes(5);
  metrics.CountDecision(decision);
  const std::string text = metrics.Render();
  EXPECT_THAT(
    text,
    HasSubstr("lycheestep_decisions_total{decision=\"placed\",kind=\"a\\\"b\"}"
              " 2\n"));
  EXPECT_THAT(text, HasSubstr("kind=\"a\\\"b\",le=\"0.002\"} 0\n"));
  EXPECT_THAT(text, HasSubstr("kind=\"a\\\"b\",le=\"0.005\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("kind=\"a\\\"b\",le=\"60\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("kind=\"a\\\"b\",le=\"+Inf\"} 2\n"));
  EXPECT_THAT(text,
              HasSubstr("lycheestep_wait_seconds_count{kind=\"a\\\"b\"} 2\n"));
}

} // namespace
} // namespace lycheestep
