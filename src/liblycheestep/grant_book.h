#ifndef LYCHEESTEP_GRANT_BOOK_H
#define LYCHEESTEP_GRANT_BOOK_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core_context.h"
#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/table.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"
#include "rows.pb.h"

namespace lycheestep {

class Fleet;
struct FleetTarget;
class PeerDirectory;
class SessionKeeper;
class SessionWatch;
class TableCalls;

namespace proto {
class ShareRequest;
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

  // Called when a target's report is needed soon; LeaseKeeper::AskSoon fits.
  using AskTarget = std::function<void(CoreContext&, const TargetId&)>;
  void SetAskTarget(AskTarget aAskTarget)
  {
    m_askTarget = std::move(aAskTarget);
  }

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
    proto::RackRow m_row;
    std::uint64_t m_version = 0;
    // What writes at m_version, not yet settled, would make of the row. A
    // write whose answer was lost may take effect until the row's version is
    // seen to have changed.
    std::vector<proto::RackRow> m_pending;
    bool m_writing = false;
    bool m_unsettled = false;
    TimePoint m_notBefore;
  };

  // Shares of dead hosts that were taken on a target, and the tasks of dead
  // hosts that it still runs.
  struct Taken
  {
    TimePoint m_at;
    Resources m_amount;
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

  // One rack row while its next form is planned.
  struct Plan
  {
    CoreContext& m_context;
    const FleetTarget& m_target;
    proto::TargetShares& m_shares;
  };

  bool MayPlan(TimePoint aNow) const;
  void ReadRacks(CoreContext& aContext);
  void HandleRacks(CoreContext& aContext, const TableAnswer& aAnswer);
  void TakeRow(const TableRow& aRow);
  void PlanAll(CoreContext& aContext);
  void PlanRack(CoreContext& aContext,
                const std::string& aKey,
                const std::vector<const FleetTarget*>& aTargets);
  bool PlanTarget(const Plan& aPlan);
  bool MoveOwnOldShares(const Plan& aPlan) const;
  bool TakeDeadShares(const Plan& aPlan);
  bool TakePart(const Plan& aPlan, proto::Share& aShare, bool aReserve);
  bool GiveToPeers(const Plan& aPlan);
  bool ClaimFree(const Plan& aPlan);
  bool ReleaseFree(const Plan& aPlan);
  bool DropGone(CoreContext& aContext, proto::RackRow& aRow) const;
  void WriteRack(CoreContext& aContext,
                 const std::string& aKey,
                 proto::RackRow aNext);
  void HandleWritten(CoreContext& aContext,
                     const std::string& aKey,
                     const TableAnswer& aAnswer);
  void AskPeers(CoreContext& aContext);
  void UpdateFleet();
  Resources FairShare() const;
  // What this host keeps of its even share when peers ask for room.
  Resources KeptShare() const;
  Resources Held() const;
  Resources Missing(TimePoint aNow) const;
  Resources Blocked(const TargetId& aTarget) const;
  // What may be given up of the own share, in its two parts.
  void Spare(const Plan& aPlan, Resources* aMain, Resources* aReserve) const;
  proto::Share* OwnShare(proto::TargetShares& aShares) const;
  std::size_t RankOf(const TargetId& aTarget) const;
  bool HoldsNothing() const;
  void PlanSoon(TimePoint aWhen);

  TableCalls& m_table;
  SessionKeeper& m_session;
  SessionWatch& m_watch;
  PeerDirectory& m_peers;
  Fleet& m_fleet;
  TracksAttempt m_tracks;
  AskTarget m_askTarget;
  EntryId m_self;
  std::map<std::string, Rack> m_racks;
  std::map<TargetId, Taken> m_taken;
  std::map<TargetId, TimePoint> m_unownedSince;
  std::map<EntryId, PeerWant> m_peerWants;
  Resources m_givenInPlan;
  Resources m_wanted;
  Resources m_largestTask;
  // The session's state at the last update of the fleet.
  std::uint64_t m_epoch = 0;
  TimePoint m_mainUntil;
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
