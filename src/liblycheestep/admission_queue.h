#ifndef LYCHEESTEP_ADMISSION_QUEUE_H
#define LYCHEESTEP_ADMISSION_QUEUE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission_verdict.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"
#include "waiting_work.h"

namespace lycheestep {

// The requests that wait at this host, and the order in which they start.
//
// Work of one kind waits in a lane of its own, earliest deadline first. Next
// compares only the heads of the lanes, so its cost grows with the number of
// kinds and not with the number waiting. Lanes go in this order: classes that
// run less than their floor, urgent first; teams that run less than theirs;
// then by class, by the team's dominant share, by deadline.
//
// A floor that is not in use may be borrowed only by work that gives it back
// soon: work that runs for at most kShortRunTime or that can be checkpointed.
// Other work beyond its own floor has to leave the unused floors free.
class AdmissionQueue
{
public:
  // Work that runs no longer than this may borrow what others have not used.
  static constexpr Duration kShortRunTime = std::chrono::seconds(5);
  // A lane that could not be placed for this long gets room kept for it.
  static constexpr Duration kHoldAfter = std::chrono::seconds(2);
  // The room that is kept grows by its first size in each kHoldGrowth, up to a
  // quarter of the cell, so that it comes free in one piece at last. After
  // kHoldLimit the next lane has its turn.
  static constexpr Duration kHoldGrowth = std::chrono::seconds(4);
  static constexpr Duration kHoldLimit = std::chrono::seconds(60);
  // The time constant with which the start rate of a lane is remembered.
  static constexpr Duration kRateMemory = std::chrono::seconds(10);

  // aLimit: requests of all kinds that may wait. Half of it is divided evenly
  // among the kinds, so that no flood can take the part of another kind.
  explicit AdmissionQueue(std::size_t aLimit);

  // Takes over a new catalogue. Work of kinds that it lacks stays waiting
  // under the former declaration until it expires or is removed.
  void SetCatalogue(std::shared_ptr<const Catalogue> aCatalogue);

  // What this host may use of all targets together. Floors and quotas are
  // shares of it.
  void SetCellCapacity(const Resources& aCapacity);

  // What one task of the kind is now expected to take and how long to run,
  // in place of the declaration. Ignored for unknown kinds.
  void SetEstimate(const KindName& aKind,
                   const Resources& aDemand,
                   Duration aRunTime);

  // Stops or resumes starting work of the kind; it goes on waiting.
  void SetStopped(const KindName& aKind, bool aStopped);

  // Admits a request or refuses it. An id that waits already is accepted and
  // changes nothing.
  AdmissionVerdict Offer(const WaitingWork& aWork, TimePoint aNow);

  // Takes out the request that should start next; nothing when none may.
  // The caller places it and calls Started, or else PutBack.
  std::optional<WaitingWork> Next(TimePoint aNow);

  // Returns work that found no place. Work of its kind is not offered again
  // before CapacityChanged; work of other kinds is.
  void PutBack(const WaitingWork& aWork,
               const std::string& aReason,
               TimePoint aNow);

  // Room became free or new: work that was put back may be tried again.
  void CapacityChanged();

  // Counts tasks that start and end; aDemand is that of one task, the same in
  // both calls.
  void Started(const KindName& aKind,
               const Resources& aDemand,
               int aTasks,
               TimePoint aNow);
  void Ended(const KindName& aKind, const Resources& aDemand, int aTasks);

  // Takes out the work whose deadline has come, with the reason.
  std::vector<WaitingWork> TakeExpired(TimePoint aNow);

  // Takes out one request; false when it does not wait here.
  bool Remove(const RequestId& aRequest);

  // Why the request waits, in one sentence; empty when it does not wait here.
  std::string Explain(const RequestId& aRequest, TimePoint aNow) const;

  // The earliest deadline of all, TimePoint::max() when there is none.
  TimePoint NextExpiry() const;

  // How many requests wait, in all and of one kind.
  std::size_t Waiting() const { return m_index.size(); }
  std::size_t Waiting(const KindName& aKind) const;

  // What all work of the kinds that found no place needs together, and the
  // largest single task of it in each resource. Zero when all finds room.
  void BlockedDemand(Resources* aTotal, Resources* aLargestTask) const;

  // How many tasks of the kind run, and what all running tasks of a class or
  // a team take.
  int Running(const KindName& aKind) const;
  Resources RunningOf(WorkClass aClass) const;
  Resources RunningOf(const TeamName& aTeam) const;

  // A kind of the class whose work found no place although the class runs
  // less than its floor: borrowed room should be given back to it. Null when
  // there is none.
  const WorkKind* KindWantingRoom(WorkClass aClass) const;

  // True when the class runs more than its floor: it may be asked to give
  // room back.
  bool IsAboveFloor(WorkClass aClass) const;

  // Lane heads looked at since the start; the deterministic cost of Next.
  std::uint64_t Comparisons() const { return m_comparisons; }

private:
  // Earliest deadline first, then first come first served.
  using Position = std::pair<TimePoint, std::uint64_t>;

  // What all running tasks of a class or team take, and its floor.
  struct Group
  {
    Resources m_used;
    double m_share = 0.0;
    double m_floor = 0.0;
    double m_quota = 1.0;
    // What is set aside while the group runs less than its floor.
    Resources m_unusedFloor;

    bool InsideFloor() const { return m_share < m_floor; }
  };

  struct Lane
  {
    WorkKind m_kind;
    std::size_t m_team = 0;
    // False when the catalogue no longer has the kind.
    bool m_listed = false;
    bool m_stopped = false;
    std::map<Position, WaitingWork> m_waiting;
    Resources m_used;
    int m_running = 0;
    // The value of m_capacityChanges at the last PutBack.
    std::uint64_t m_blockedAt = 0;
    // Since when its head has found no room or no place; TimePoint::max()
    // when it last started work.
    TimePoint m_blockedSince = TimePoint::max();
    std::string m_blockedReason;
    // Decayed number of starts, and of seconds in which work waited.
    double m_starts = 0.0;
    double m_busySeconds = 0.0;
    TimePoint m_rateUpdated;
  };

  // Why the head of a lane may not start now.
  enum class Obstacle
  {
    kNone,
    kStopped,
    kRunningLimit,
    kQuota,
    kNoRoom,
    kNoPlace,
    kFloorsOfOthers,
    kRoomKept,
  };

  // The order of lanes; the least goes first.
  struct Rank
  {
    int m_tier = 0;
    WorkClass m_class = WorkClass::kUrgent;
    bool m_teamInsideFloor = false;
    double m_teamShare = 0.0;
    Position m_head;

    bool operator<(const Rank& aOther) const;
  };

  Lane* FindLane(const KindName& aKind);
  const Lane* FindLane(const KindName& aKind) const;
  Resources DemandOf(const Lane& aLane, int aTasks) const;
  Group& ClassOf(const Lane& aLane);
  const Group& ClassOf(const Lane& aLane) const;
  Obstacle ObstacleFor(std::size_t aLane,
                       const WaitingWork& aHead,
                       TimePoint aNow) const;
  bool LeavesFloorsFree(const Lane& aLane, const Resources& aDemand) const;
  bool LeavesKeptRoom(std::size_t aLane,
                      const Resources& aDemand,
                      TimePoint aNow) const;
  bool GivesBackSoon(const Lane& aLane) const;
  Rank RankOf(const Lane& aLane, const Position& aHead) const;
  std::string Describe(Obstacle aObstacle, const Lane& aLane) const;
  void Account(Lane& aLane, const Resources& aDemand, int aTasks, int aSign);
  void RefreshGroup(Group& aGroup);
  void RefreshAllGroups();
  void ChooseHolder(TimePoint aNow);
  void AddLanes();
  void ReleaseIdleLanes();
  std::size_t OwnPart() const;
  void CountShared();
  void UpdateRate(Lane& aLane, TimePoint aNow);
  Duration ExpectedWait(const Lane& aLane, const WaitingWork& aWork) const;
  AdmissionVerdict CheckRoom(const Lane& aLane, const WaitingWork& aWork) const;
  void Insert(Lane& aLane, std::size_t aIndex, const WaitingWork& aWork);
  void Erase(std::size_t aLane, const Position& aPosition);

  std::size_t m_limit;
  std::shared_ptr<const Catalogue> m_catalogue;
  Resources m_capacity;
  Resources m_used;
  std::vector<Lane> m_lanes;
  std::unordered_map<KindName, std::size_t> m_laneIndex;
  // Positions in m_lanes that can be used again.
  std::vector<std::size_t> m_freeLanes;
  std::array<Group, kWorkClasses> m_classes;
  std::vector<Group> m_teams;
  std::unordered_map<TeamName, std::size_t> m_teamIndex;
  std::unordered_map<RequestId, std::pair<std::size_t, Position>> m_index;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_capacityChanges = 1;
  // Requests beyond the parts that belong to their kinds.
  std::size_t m_sharedWaiting = 0;
  // The lane for which room is kept, if any, and since when.
  std::optional<std::size_t> m_holder;
  TimePoint m_holdSince;
  std::uint64_t m_comparisons = 0;
};

} // namespace lycheestep

#endif
