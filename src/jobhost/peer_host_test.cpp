#include "peer_host.h"

#include <gtest/gtest.h>

#include <chrono>

namespace lycheestep {

using std::chrono::seconds;

// Seen on ozolini-rake-grown scale-1: when the store had dropped its history,
// all rows were read again and no host counted as live.
TEST(PeerHost, RowThatIsReadAgainLeavesTheHostLive)
{
  PeerHost known;
  known.m_address = "10.0.0.1:7";
  known.m_lastSeen = TimePoint(seconds(90));
  known.m_answeredHeartbeat = true;
  PeerHost row;
  row.m_address = known.m_address;
  row.m_lastSeen = TimePoint(seconds(100));
  const PeerHost updated = UpdatedPeerHost(row, known);
  EXPECT_TRUE(updated.m_answeredHeartbeat);
  EXPECT_EQ(updated.m_lastSeen, known.m_lastSeen);
}

TEST(PeerHost, HostAtAnotherAddressHasToAnswerFirst)
{
  PeerHost known;
  known.m_address = "10.0.0.1:7";
  known.m_answeredHeartbeat = true;
  PeerHost row;
  row.m_address = "10.0.0.2:7";
  EXPECT_FALSE(UpdatedPeerHost(row, known).m_answeredHeartbeat);
}

} // namespace lycheestep
