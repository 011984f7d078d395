#include "log_format.h"

#include <gmock/gmock.h>

#include <chrono>

namespace lycheestep {
namespace {

LogDecision Placed()
{
  LogDecision decision;
  decision.m_request = RequestId("r1");
  decision.m_kind = KindName("báo-giá");
  decision.m_target = TargetId("t3");
  decision.m_why = "most\nfree";
  decision.m_candidates = 5;
  decision.m_waited = std::chrono::microseconds(1200);
  return decision;
}

TEST(LogFormatTest, WritesADecisionOnOneLine)
{
  EXPECT_EQ(DescribeDecision(Placed()),
            "placed request r1 kind báo-giá target t3: most free; "
            "5 candidates, waited 1.2 ms");
  EXPECT_STREQ(PrefixOf(DecisionKind::kPlaced), "placement");
  EXPECT_STREQ(PrefixOf(DecisionKind::kRefused), "routing");
}

TEST(LogFormatTest, WritesJsonOfInvalidUtf8)
{
  LogDecision decision = Placed();
  decision.m_why = "\xff";
  EXPECT_THAT(DecisionToJson(decision),
              testing::HasSubstr("\"waited_ms\":1.2"));
}

} // namespace
} // namespace lycheestep
