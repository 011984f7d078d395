#ifndef LYCHEESTEP_GRANT_BOOK_H
#define LYCHEESTEP_GRANT_BOOK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core_context.h"
#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/table.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class Fleet;
class PeerDirectory;
class SessionKeeper;
class SessionWatch;
class TableCalls;

namespace proto {
class RackRow;
class ShareRequest;
class TargetShares;
}

// Answers whether this process looks after an attempt, so that its room is
// already counted as used.
using TracksAttempt = std::function<bool(const AttemptId&)>;

// This host's shares of the targets, in the rows rack/<data centre>/<rack>.
// Claims what nobody holds, takes over the shares of ended sessions after
// their terms, gives room away to peers that ask, and keeps
// FleetTarget::m_grant at what may really be used: the smaller of what the
// table says and what a write in flight may make of it, less the tasks of
// dead hosts that a target still runs.
class GrantBook
{
public:
  GrantBook(TableCalls& aTable,
            SessionKeeper& aSession,
            SessionWatch& aWatch,
            PeerDirectory& aPeers,
            Fleet& aFleet,
            TracksAttempt aTracks);
  ~GrantBook();

  void Tick(CoreContext& aContext);
  TimePoint NextWakeup() const;

  // The host list changed: Fleet::Replace was called.
  void HandleFleetChanged(CoreContext& aContext);

  // This process's session opened, was renewed or was lost.
  void HandleSessionChanged(CoreContext& aContext);

  // Another host's session ended.
  void HandlePeerSessionEnded(CoreContext& aContext);

  // A target's report, for the tasks of dead hosts.
  void HandleTargetReported(CoreContext& aContext, const TargetReport& aReport);

  // What the waiting requests need in all, and the largest single task of
  // them that fits no free share. Zero when nothing waits.
  void SetDemand(const Resources& aWanted, const Resources& aLargestTask);

  // A peer of this data centre needs room: releases free room to it.
  void HandleShareRequest(CoreContext& aContext,
                          const EntryId& aFrom,
                          const proto::ShareRequest& aRequest);

  // Gives everything back for a graceful stop, as tasks end; aDone is called
  // when no share is left in the table.
  void ReleaseAll(CoreContext& aContext,
                  std::function<void(CoreContext&)> aDone);

  // Writes of rack rows sent so far.
  std::uint64_t WritesSent() const { return m_writesSent; }

private:
  // One rack row as last read or written.
  struct Rack
  {
    std::unique_ptr<proto::RackRow> m_row;
    std::uint64_t m_version = 0;
    // The row that a write not yet settled would make, sent at m_version.
    std::unique_ptr<proto::RackRow> m_pending;
    bool m_writing = false;
    // The last write's answer was lost: the next read or write settles it.
    bool m_unsettled = false;
  };

  // Tasks of dead hosts on a target where a dead host's share was taken.
  struct Taken
  {
    TimePoint m_at;
    bool m_reported = false;
    Resources m_running;
  };

  // Room that a peer asked for.
  struct PeerWant
  {
    Resources m_wanted;
    Resources m_largest;
    TimePoint m_until;
  };

  void ReadRacks(CoreContext& aContext);
  void HandleRacks(CoreContext& aContext, const TableAnswer& aAnswer);
  void TakeRow(const std::string& aKey,
               const std::string& aValue,
               std::uint64_t aVersion);
  void PlanAll(CoreContext& aContext);
  void PlanRack(CoreContext& aContext, const std::string& aKey);
  bool PlanTarget(CoreContext& aContext, proto::TargetShares& aTarget);
  bool DropUnused(proto::TargetShares& aTarget) const;
  bool MoveOwnOldShares(proto::TargetShares& aTarget) const;
  bool TakeDeadShares(CoreContext& aContext, proto::TargetShares& aTarget);
  bool GiveToPeers(CoreContext& aContext, proto::TargetShares& aTarget);
  bool ClaimFree(CoreContext& aContext, proto::TargetShares& aTarget);
  bool ReleaseIdle(CoreContext& aContext, proto::TargetShares& aTarget);
  void WriteRack(CoreContext& aContext,
                 const std::string& aKey,
                 std::unique_ptr<proto::RackRow> aNext);
  void HandleWritten(CoreContext& aContext,
                     const std::string& aKey,
                     const TableAnswer& aAnswer);
  void AskPeers(CoreContext& aContext);
  void UpdateFleet(CoreContext& aContext);
  bool HoldsNothing() const;
  std::string KeyOf(const RackName& aRack) const;

  TableCalls& m_table;
  SessionKeeper& m_session;
  SessionWatch& m_watch;
  PeerDirectory& m_peers;
  Fleet& m_fleet;
  TracksAttempt m_tracks;
  DataCentreName m_dataCentre;
  EntryId m_self;
  std::map<std::string, Rack> m_racks;
  std::map<TargetId, Taken> m_taken;
  std::map<EntryId, PeerWant> m_peerWants;
  Resources m_wanted;
  Resources m_largestTask;
  bool m_reading = false;
  bool m_known = false;
  bool m_releasing = false;
  std::function<void(CoreContext&)> m_releaseDone;
  TimePoint m_nextRead;
  TimePoint m_nextPlan;
  TimePoint m_nextAsk;
  int m_failures = 0;
  std::uint64_t m_writesSent = 0;
};

} // namespace lycheestep

#endif
