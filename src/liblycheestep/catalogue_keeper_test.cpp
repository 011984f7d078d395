#include "coordination_cell.h"

#include <gtest/gtest.h>

#include "catalogue_codec.h"
#include "lycheestep/scheduler_error.h"

namespace lycheestep {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::shared_ptr<Catalogue> CatalogueOf(int aKinds, int aDeadline)
{
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->m_cell = "phan-viet";
  catalogue->m_teams.push_back({ TeamName("sales"), 0.5, 0.2 });
  Customer buyer;
  buyer.m_name = CustomerName("distributor");
  buyer.m_promised = true;
  buyer.m_kinds = { KindName("k0") };
  catalogue->m_customers.push_back(buyer);
  for (int i = 0; i < aKinds; ++i) {
    WorkKind kind;
    kind.m_name = KindName("k" + std::to_string(i));
    kind.m_owner = "An";
    kind.m_team = TeamName("sales");
    kind.m_demand = Resources(1000, 512, 0, 1, 1);
    kind.m_deadline = i == 0 ? seconds(aDeadline) : seconds(10);
    catalogue->m_kinds.push_back(kind);
  }
  return catalogue;
}

void Apply(CoordinationCell& aCell,
           std::size_t aHost,
           std::shared_ptr<const Catalogue> aCatalogue,
           std::uint64_t aBase,
           std::vector<OperatorReply>& aReplies)
{
  OperatorCommand command;
  command.m_verb = OperatorVerb::kApply;
  command.m_operator = "operator" + std::to_string(aHost);
  command.m_message = "change";
  command.m_catalogue = std::move(aCatalogue);
  command.m_baseVersion = aBase;
  aCell.Enter(aHost, [&](CoreContext& aContext) {
    aCell.Host(aHost).m_catalogue.Apply(
      aContext, command, [&aReplies](CoreContext&, const OperatorReply& aOne) {
        aReplies.push_back(aOne);
      });
  });
}

TEST(CatalogueCodec, ADeltaMakesTheSameBytes)
{
  auto from = CatalogueOf(40, 5);
  auto to = CatalogueOf(41, 6);
  to->m_version = 7;
  to->m_kinds.erase(to->m_kinds.begin() + 3);
  const std::string delta = EncodeDelta(*from, *to);
  ASSERT_FALSE(delta.empty());
  EXPECT_LT(delta.size() * 4, EncodeCatalogue(*to).size());
  EXPECT_EQ(EncodeCatalogue(*ApplyDelta(*from, delta)), EncodeCatalogue(*to));
  EXPECT_EQ(DecodeCatalogue("broken"), nullptr);
}

TEST(CatalogueKeeper, AChangeIsInForceEverywhereWithinSeconds)
{
  CoordinationCell cell(4, 1);
  cell.Run(seconds(10));
  std::vector<OperatorReply> replies;
  Apply(cell, 0, CatalogueOf(30, 5), 0, replies);
  cell.Run(seconds(1));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_FALSE(replies.front().m_error);
  Apply(cell, 2, CatalogueOf(30, 6), 1, replies);
  cell.Run(seconds(6));
  for (const std::size_t host : { 0U, 1U, 2U, 3U }) {
    EXPECT_EQ(cell.Host(host).m_catalogue.Version(), 2U);
    EXPECT_EQ(cell.Host(host).m_catalogue.Current()->m_kinds[0].m_deadline,
              seconds(6));
  }
}

// Two operators apply at once; how many of the two replies are conflicts.
int RaceOnce(bool aLoseReplies)
{
  CoordinationCell cell(2, 1);
  cell.Run(seconds(10));
  cell.m_faults.m_loseReplies = aLoseReplies;
  std::vector<OperatorReply> replies;
  Apply(cell, 0, CatalogueOf(3, 5), 0, replies);
  Apply(cell, 1, CatalogueOf(3, 6), 0, replies);
  cell.Run(milliseconds(900));
  cell.m_faults.m_loseReplies = false;
  cell.Run(seconds(20));
  EXPECT_EQ(replies.size(), 2U);
  int conflicts = 0;
  for (const OperatorReply& reply : replies) {
    EXPECT_FALSE(reply.m_unknown);
    EXPECT_NE(reply.m_catalogue, nullptr);
    EXPECT_EQ(reply.m_version, 1U);
    if (reply.m_error == SchedulerError::kVersionConflict) {
      ++conflicts;
    }
  }
  return conflicts;
}

TEST(CatalogueKeeper, OfTwoOperatorsWhoRaceExactlyOneWins)
{
  EXPECT_EQ(RaceOnce(false), 1);
  EXPECT_EQ(RaceOnce(true), 1);
}

TEST(CatalogueKeeper, ARestartDuringAnOutageTakesThePeersVersion)
{
  CoordinationCell cell(2, 1);
  cell.Run(seconds(10));
  std::vector<OperatorReply> replies;
  Apply(cell, 0, CatalogueOf(3, 5), 0, replies);
  cell.Run(seconds(10));
  cell.m_faults.m_down = true;
  // The addresses stand in the settings, as the table can't be read.
  cell.m_base.m_peers = { { EntryId("e0"), DataCentreName("dc"), "e0" },
                          { EntryId("e1"), DataCentreName("dc"), "e1" } };
  cell.Boot(1);
  cell.Run(seconds(5));
  EXPECT_EQ(cell.Host(1).m_catalogue.Version(), 1U);
}

TEST(CatalogueKeeper, BrokenTransfersChangeNothing)
{
  CoordinationCell cell(2, 1);
  cell.Run(seconds(10));
  std::vector<OperatorReply> replies;
  Apply(cell, 0, CatalogueOf(3, 5), 0, replies);
  cell.Run(seconds(10));
  auto other = CatalogueOf(3, 9);
  other->m_version = 5;
  proto::CatalogueTransfer transfer;
  transfer.set_version(5);
  transfer.set_body(EncodeCatalogue(*other));
  transfer.set_digest(DigestOf(transfer.body()) + 1);
  cell.Enter(1, [&](CoreContext& aContext) {
    cell.Host(1).m_catalogue.HandleTransfer(aContext, EntryId("e0"), transfer);
  });
  EXPECT_EQ(cell.Host(1).m_catalogue.Version(), 1U);
}

} // namespace
} // namespace lycheestep
