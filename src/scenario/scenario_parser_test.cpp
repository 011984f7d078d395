#include "scenario_parser.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "lycheestep/work_kind.h"

namespace lycheestep {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr const char* kLayout =
  "seed 7\n"
  "data centre a has 2 hosts\n"
  "data centre a has 3 targets of 30 cores 130GB 8 slots 64 connections, "
  "2 to a rack\n"
  "kind quote urgent request, takes 0.5 cores 256MB, runs 50ms\n"
  "kind plan standard gang of 4, not repeatable, starts within 2min\n";

ParsedScenario Parse(const std::string& aLines)
{
  ScenarioParser parser("case.scenario",
                        [](const std::string&, std::string& aError) {
                          aError = "no such file";
                          return nullptr;
                        });
  return parser.Parse(kLayout + aLines);
}

TEST(ScenarioParser, ReadsLayoutAndKinds)
{
  const ParsedScenario parsed = Parse("");
  ASSERT_THAT(parsed.m_errors, IsEmpty());
  const CellLayout& layout = parsed.m_scenario->m_layout;
  EXPECT_EQ(layout.m_seed, 7U);
  EXPECT_EQ(layout.m_hosts.at(1).m_entry.Text(), "a2");
  EXPECT_EQ(layout.m_targets.at(2).m_id.Text(), "a-t3");
  EXPECT_EQ(layout.m_targets.at(2).m_rack.Text(), "r2");
  EXPECT_EQ(layout.m_targets.at(0).m_capacity,
            Resources(30000, 133120, 0, 8, 64));
  const WorkKind* plan = layout.m_catalogue->FindKind(KindName("plan"));
  ASSERT_NE(plan, nullptr);
  EXPECT_FALSE(plan->m_repeatable);
  EXPECT_EQ(plan->m_tasks, 4);
  EXPECT_EQ(plan->m_deadline, std::chrono::minutes(2));
}

TEST(ScenarioParser, ReadsStepsAndExpectations)
{
  const ParsedScenario parsed =
    Parse("from 1s to 60s send quote 20 per second\n"
          "flood quote 50x from 5s to 40s\n"
          "at 4s pause entry a1 for 20s   # as SIGSTOP does\n"
          "at 10s platform loses replies for 5s\n"
          "at 10s cut a from platform for 30s\n"
          "by 60s all plan done\n"
          "expect quote p99 wait <= 8500ms\n"
          "always no over-commit\n");
  ASSERT_THAT(parsed.m_errors, IsEmpty());
  const auto& steps = parsed.m_scenario->m_steps;
  ASSERT_EQ(steps.size(), 5U);
  EXPECT_EQ(steps[1].m_count, 20000 * 49);
  EXPECT_EQ(steps[2].m_verb, StepVerb::kPauseEntry);
  EXPECT_EQ(steps[2].m_length, std::chrono::seconds(20));
  EXPECT_EQ(steps[2].m_text, "at 4s pause entry a1 for 20s");
  EXPECT_EQ(steps[4].m_other, "platform");
  const auto& expectations = parsed.m_scenario->m_expectations;
  ASSERT_EQ(expectations.size(), 3U);
  EXPECT_EQ(expectations[1].m_percentile, 99);
  EXPECT_EQ(expectations[1].m_time, std::chrono::milliseconds(8500));
}

TEST(ScenarioParser, ErrorsNameFileLineAndWhatWasExpected)
{
  const ParsedScenario parsed = Parse("at 4s pause entry b9 for 20s\n"
                                      "at 4 pause entry a1 for 20s\n"
                                      "by 60s all plan finished\n"
                                      "at 4s pause entry a1\n"
                                      "dance\n");
  EXPECT_THAT(
    parsed.m_errors,
    ElementsAre("case.scenario:6: expected an entry host, found \"b9\"",
                "case.scenario:7: expected a time such as 20s, 300ms or 2min, "
                "found \"4\"",
                "case.scenario:8: expected \"done\", found \"finished\"",
                "case.scenario:9: expected \"for\" and how long, found the "
                "end of the line",
                "case.scenario:10: expected a layout, catalogue, timed or "
                "expectation line, found \"dance\""));
}

} // namespace
} // namespace lycheestep
