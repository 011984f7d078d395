#include "planned_slowdown.h"

#include <gtest/gtest.h>

#include "lycheestep/catalogue.h"

namespace lycheestep {
namespace {

const KindName kQuote("quote");
const CustomerName kCafe("cafe");

Catalogue MakeCatalogue()
{
  Catalogue catalogue;
  WorkKind quote;
  quote.m_name = kQuote;
  quote.m_team = TeamName("desk");
  WorkKind plan;
  plan.m_name = KindName("plan");
  catalogue.m_kinds = { quote, plan };
  catalogue.m_teams = { { TeamName("desk"), 0.5, 0.2 } };
  catalogue.m_customers = { { kCafe, true, "+371 1", { kQuote } },
                            { CustomerName("club"), false, "", { kQuote } } };
  return catalogue;
}

const std::vector<KindName> kNone;
const std::vector<KindName> kOnlyQuote{ kQuote };

std::vector<KindName> Slowed(const Catalogue& aNext)
{
  return SlowedKinds(MakeCatalogue(), aNext);
}

TEST(PlannedSlowdown, NamesTheKindsThatAChangeSlowsDown)
{
  EXPECT_EQ(Slowed(MakeCatalogue()), kNone);
  Catalogue next = MakeCatalogue();
  next.m_kinds[0].m_runningLimit = 5;
  EXPECT_EQ(Slowed(next), kOnlyQuote);
  next = MakeCatalogue();
  next.m_kinds[0].m_class = WorkClass::kBatch;
  EXPECT_EQ(Slowed(next), kOnlyQuote);
  next = MakeCatalogue();
  next.m_teams[0].m_quota = 0.4;
  EXPECT_EQ(Slowed(next), kOnlyQuote);
  next = MakeCatalogue();
  next.m_classFloors[1] = 0.1;
  EXPECT_EQ(Slowed(next).size(), 2U);
  next = MakeCatalogue();
  next.m_kinds.erase(next.m_kinds.begin());
  EXPECT_EQ(Slowed(next), kOnlyQuote);
  next = MakeCatalogue();
  next.m_kinds[1].m_runningLimit = 1;
  EXPECT_EQ(Slowed(next), std::vector<KindName>{ KindName("plan") });
  next = MakeCatalogue();
  next.m_kinds[0].m_checkpointable = true;
  EXPECT_EQ(Slowed(next), kOnlyQuote);
  next = MakeCatalogue();
  next.m_kinds[0].m_team = TeamName("other");
  EXPECT_EQ(Slowed(next), kOnlyQuote);
  next = MakeCatalogue();
  next.m_customers[0].m_promised = false;
  EXPECT_EQ(Slowed(next), kOnlyQuote);
}

} // namespace
} // namespace lycheestep
