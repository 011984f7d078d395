#ifndef LYCHEESTEP_PEER_DIRECTORY_H
#define LYCHEESTEP_PEER_DIRECTORY_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core_context.h"
#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

namespace proto {
class Heartbeat;
class PeerMessage;
class ResourceAmounts;
}

// Resources to and from their form on the wire.
Resources FromProto(const proto::ResourceAmounts& aAmounts);
void ToProto(const Resources& aResources, proto::ResourceAmounts* aAmounts);

// What a host tells its peers about itself.
struct PeerLoad
{
  std::uint64_t m_catalogueVersion = 0;
  bool m_leaving = false;
  Resources m_free;
  Resources m_largestFree;
  std::uint32_t m_waiting = 0;
};

// One other entry host as it is known here.
struct PeerEntry
{
  EntryId m_id;
  DataCentreName m_dataCentre;
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  PeerLoad m_load;
  // When its last message came; the epoch of the clock: never.
  TimePoint m_heardAt;
};

// The other entry hosts: addresses from settings, session rows and their own
// messages, and what they last said of their load. It only steers routing;
// nothing about safety rests on it.
class PeerDirectory
{
public:
  explicit PeerDirectory(const SchedulerSettings& aSettings);

  // Takes the state that the next heartbeats carry.
  void SetOwnLoad(const PeerLoad& aLoad) { m_own = aLoad; }

  // Sends the heartbeats that are due.
  void Tick(CoreContext& aContext);
  TimePoint NextWakeup() const { return m_nextHeartbeat; }

  // Notes who sent a message, where it listens and, from a heartbeat, its
  // load. Called for every message before the message's own handler.
  void HandleMessage(CoreContext& aContext,
                     const EntryId& aFrom,
                     const proto::PeerMessage& aMessage);

  // A session row names a host of this data centre.
  void NoteAddress(const EntryId& aEntry, const std::string& aAddress);

  // Fills the envelope and sends. A host without known address gets nothing.
  void Send(CoreContext& aContext,
            const EntryId& aTo,
            proto::PeerMessage aMessage);

  // Sends the message to every known peer.
  void SendToAll(CoreContext& aContext, const proto::PeerMessage& aMessage);

  // True when the peer was heard of within m_peerTimeout.
  bool IsAlive(const EntryId& aPeer, TimePoint aNow) const;

  // Peers heard of within m_peerTimeout, in order of their ids.
  std::vector<const PeerEntry*> Alive(TimePoint aNow) const;

  // The peers alive in this data centre.
  std::vector<EntryId> AliveHere(TimePoint aNow) const;

  // The peer to forward a request of that demand to: alive, not leaving,
  // with room on one target, its own data centre's hosts first; none when
  // the hops are used up or too little of the deadline remains. Deducts the
  // demand from what is known of the peer's room, so that a burst is spread.
  std::optional<EntryId> ChooseForward(CoreContext& aContext,
                                       const Resources& aDemand,
                                       int aHops,
                                       Duration aRemaining);

  // The peer of that id, or null.
  const PeerEntry* Find(const EntryId& aPeer) const;

  // Messages handed to the peers service so far.
  std::uint64_t MessagesSent() const { return m_messagesSent; }

private:
  EntryId m_self;
  DataCentreName m_dataCentre;
  std::map<EntryId, PeerEntry> m_peers;
  PeerLoad m_own;
  Duration m_timeout;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_messagesSent = 0;
  TimePoint m_nextHeartbeat;
};

} // namespace lycheestep

#endif
