#include "promise_book.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

const TimePoint kNow{ seconds(1000) };
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

class PromiseBookTest : public ::testing::Test
{
protected:
  PromiseBookTest()
  {
    m_book.SetCatalogue(std::make_shared<Catalogue>(MakeCatalogue()));
  }

  std::size_t ToCallFor(const Catalogue& aNext) const
  {
    return m_book.ToCallForChange(aNext, kNow).size();
  }

  PromiseBook m_book;
};

TEST_F(PromiseBookTest, OneAnnouncementCoversOneSlowdown)
{
  ASSERT_EQ(m_book.ToCall(kQuote, kNow).size(), 1U);
  EXPECT_EQ(m_book.ToCall(kQuote, kNow)[0].m_contact, "+371 1");
  EXPECT_TRUE(m_book.ToCall(KindName("plan"), kNow).empty());
  EXPECT_FALSE(m_book.Announce(kQuote, CustomerName("club"), kNow));
  EXPECT_FALSE(m_book.Announce(KindName("plan"), kCafe, kNow));
  EXPECT_TRUE(m_book.Announce(kQuote, kCafe, kNow));
  EXPECT_TRUE(m_book.ToCall(kQuote, kNow).empty());
  EXPECT_EQ(m_book.ToCall(kQuote, kNow + hours(25)).size(), 1U);
  m_book.PlannedSlowdown(kQuote);
  EXPECT_EQ(m_book.ToCall(kQuote, kNow).size(), 1U);
  m_book.UnplannedSlowdown(kQuote);
  EXPECT_EQ(m_book.Planned(), 1U);
  EXPECT_EQ(m_book.Unplanned(), 1U);
}

TEST_F(PromiseBookTest, ChangesThatSlowPromisedWorkNeedACall)
{
  EXPECT_EQ(ToCallFor(MakeCatalogue()), 0U);
  Catalogue next = MakeCatalogue();
  next.m_kinds[0].m_runningLimit = 5;
  EXPECT_EQ(ToCallFor(next), 1U);
  next = MakeCatalogue();
  next.m_kinds[0].m_class = WorkClass::kBatch;
  EXPECT_EQ(ToCallFor(next), 1U);
  next = MakeCatalogue();
  next.m_teams[0].m_quota = 0.4;
  EXPECT_EQ(ToCallFor(next), 1U);
  next = MakeCatalogue();
  next.m_classFloors[1] = 0.1;
  EXPECT_EQ(ToCallFor(next), 1U);
  next = MakeCatalogue();
  next.m_kinds.erase(next.m_kinds.begin());
  EXPECT_EQ(ToCallFor(next), 1U);
  next = MakeCatalogue();
  next.m_kinds[1].m_runningLimit = 1;
  EXPECT_EQ(ToCallFor(next), 0U);
  next = MakeCatalogue();
  next.m_customers[0].m_promised = false;
  EXPECT_EQ(ToCallFor(next), 1U);
}

} // namespace
} // namespace lycheestep
