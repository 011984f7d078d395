#include <gmock/gmock.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstddef>
#include <string>

#include "base64.h"
#include "table_json.h"
#include "target_json.h"

namespace lycheestep {
namespace {

TEST(Base64Test, RoundTripsAnyBytes)
{
  EXPECT_TRUE(rc::check([](const std::string& aBytes) {
    RC_ASSERT(DecodeBase64(EncodeBase64(aBytes)) == aBytes);
  }));
  EXPECT_FALSE(DecodeBase64("abc"));
  EXPECT_FALSE(DecodeBase64("===="));
  EXPECT_FALSE(DecodeBase64("a!bc"));
}

TEST(WireJsonTest, RoundTripsATransaction)
{
  TableTransaction transaction;
  transaction.m_conditions.push_back({ "a/ž", 7 });
  transaction.m_writes.push_back({ "a/ž", std::string("\0\xff", 2), false });
  transaction.m_writes.push_back({ "b", "", true });
  const auto back = DecodeTransaction(EncodeTransaction(transaction));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->m_conditions[0].m_version, 7U);
  EXPECT_EQ(back->m_writes[0].m_value, transaction.m_writes[0].m_value);
  EXPECT_TRUE(back->m_writes[1].m_remove);
}

TEST(WireJsonTest, RoundTripsAStartCallAndAReport)
{
  StartCall call;
  call.m_start.m_attempt = AttemptId("a1");
  call.m_start.m_demand = Resources(100, 200, 0, 1, 2);
  call.m_notify = EntryId("e1");
  const auto start = DecodeStartCall(EncodeStartCall(call));
  ASSERT_TRUE(start);
  EXPECT_EQ(start->m_start.m_demand, call.m_start.m_demand);
  EXPECT_TRUE(start->m_start.m_waitForEnd);

  TargetReport report;
  report.m_tasks.resize(1);
  report.m_tasks[0].m_state = AttemptState::kEnded;
  report.m_tasks[0].m_body = "phấn";
  report.m_tasks[0].m_targetUpFor = std::chrono::seconds(3);
  const auto back = DecodeReport(EncodeReport(report));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->m_tasks[0].m_state, AttemptState::kEnded);
  EXPECT_EQ(back->m_tasks[0].m_body, "phấn");
  EXPECT_EQ(back->m_tasks[0].m_targetUpFor, report.m_tasks[0].m_targetUpFor);
}

// A text that is cut short, or in which one byte is replaced by 0xff, is
// rejected. No decoder throws.
TEST(WireJsonTest, RejectsDamagedTextWithoutThrowing)
{
  StartCall call;
  call.m_start.m_body = "body";
  const std::string whole = EncodeStartCall(call);
  for (std::size_t i = 0; i < whole.size(); ++i) {
    EXPECT_FALSE(DecodeStartCall(whole.substr(0, i)));
    std::string damaged = whole;
    damaged[i] = static_cast<char>(0xff);
    EXPECT_FALSE(DecodeStartCall(damaged));
  }
  EXPECT_FALSE(DecodeTableAnswer("[]"));
  EXPECT_FALSE(DecodeReport("{\"tasks\":7}"));
  EXPECT_FALSE(DecodeControl("{\"control\":\"dance\"}"));
  EXPECT_FALSE(DecodeTargetList("null"));
}

} // namespace
} // namespace lycheestep
