#include "admission_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace lycheestep {

namespace {

using Seconds = std::chrono::duration<double>;

// Bounds of the time after which a refused caller may try again.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMostRetryAfter = std::chrono::minutes(1);

// Seconds of waiting after which the start rate of a lane is trusted.
constexpr double kRateTrustedAfter = 2.0;

// Room is kept for one lane in at most one part of this many of the cell.
constexpr std::int64_t kMostKept = 4;

// Comes after every order number.
constexpr std::uint64_t kLastOrder = std::numeric_limits<std::uint64_t>::max();

// Requests ahead that an explanation counts at most.
constexpr std::size_t kMostCounted = 1000;

// A floor or quota as an amount of the cell.
Resources ShareOf(const Resources& aWhole, double aShare)
{
  constexpr std::int64_t kDenominator = 1000000;
  return aWhole.Scaled(std::llround(aShare * kDenominator), kDenominator);
}

Duration ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(Seconds(aSeconds));
}

std::string Milliseconds(Duration aTime)
{
  using std::chrono::milliseconds;
  return std::to_string(
           std::chrono::duration_cast<milliseconds>(aTime).count()) +
         " ms";
}

AdmissionVerdict Accepted()
{
  AdmissionVerdict verdict;
  verdict.m_accepted = true;
  return verdict;
}

AdmissionVerdict Refused(SchedulerError aError,
                         std::string aDetail,
                         Duration aRetryAfter)
{
  AdmissionVerdict verdict;
  verdict.m_error = aError;
  verdict.m_detail = std::move(aDetail);
  verdict.m_retryAfter =
    std::clamp(aRetryAfter, kLeastRetryAfter, kMostRetryAfter);
  return verdict;
}

} // namespace

bool AdmissionQueue::Rank::operator<(const Rank& aOther) const
{
  return std::make_tuple(
           m_tier, m_class, !m_teamInsideFloor, m_teamShare, m_head) <
         std::make_tuple(aOther.m_tier,
                         aOther.m_class,
                         !aOther.m_teamInsideFloor,
                         aOther.m_teamShare,
                         aOther.m_head);
}

AdmissionQueue::AdmissionQueue(std::size_t aLimit)
  : m_limit(aLimit)
{
}

void AdmissionQueue::SetCatalogue(std::shared_ptr<const Catalogue> aCatalogue)
{
  m_catalogue = std::move(aCatalogue);
  m_teams.clear();
  m_teamIndex.clear();
  // The first group is for kinds whose team is not listed.
  m_teams.emplace_back();
  for (const Team& team : m_catalogue->m_teams) {
    Group group;
    group.m_floor = team.m_floor;
    group.m_quota = team.m_quota;
    m_teamIndex.emplace(team.m_name, m_teams.size());
    m_teams.push_back(group);
  }
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    m_classes[i] = Group();
    m_classes[i].m_floor = m_catalogue->m_classFloors[i];
  }
  AddLanes();
  ReleaseIdleLanes();
  for (Lane& lane : m_lanes) {
    auto team = m_teamIndex.find(lane.m_kind.m_team);
    lane.m_team = team == m_teamIndex.end() ? 0 : team->second;
    ClassOf(lane).m_used += lane.m_used;
    m_teams[lane.m_team].m_used += lane.m_used;
  }
  CountShared();
  RefreshAllGroups();
  CapacityChanged();
}

void AdmissionQueue::SetCellCapacity(const Resources& aCapacity)
{
  if (m_capacity == aCapacity) {
    return;
  }
  m_capacity = aCapacity;
  RefreshAllGroups();
  CapacityChanged();
}

void AdmissionQueue::SetEstimate(const KindName& aKind,
                                 const Resources& aDemand,
                                 Duration aRunTime)
{
  if (Lane* lane = FindLane(aKind)) {
    lane->m_kind.m_demand = aDemand;
    lane->m_kind.m_runTime = aRunTime;
  }
}

void AdmissionQueue::SetStopped(const KindName& aKind, bool aStopped)
{
  if (Lane* lane = FindLane(aKind)) {
    lane->m_stopped = aStopped;
  }
}

AdmissionVerdict AdmissionQueue::Offer(const WaitingWork& aWork, TimePoint aNow)
{
  auto found = m_laneIndex.find(aWork.m_kind);
  if (found == m_laneIndex.end() || !m_lanes[found->second].m_listed) {
    AdmissionVerdict verdict = Refused(SchedulerError::kUnknownKind,
                                       "the catalogue has no such kind",
                                       Duration::zero());
    verdict.m_retryAfter = Duration::zero();
    return verdict;
  }
  if (m_index.count(aWork.m_id) > 0) {
    return Accepted();
  }
  Lane& lane = m_lanes[found->second];
  UpdateRate(lane, aNow);
  if (!aWork.m_resume) {
    AdmissionVerdict verdict = CheckRoom(lane, aWork);
    if (!verdict.m_accepted) {
      return verdict;
    }
    const Duration wait = ExpectedWait(lane, aWork);
    if (aWork.m_deadline != TimePoint::max() &&
        aWork.m_deadline - aNow < wait) {
      return Refused(SchedulerError::kDeadlineUnreachable,
                     "would wait about " + Milliseconds(wait) + " behind " +
                       std::to_string(lane.m_waiting.size()) +
                       " requests, past its deadline",
                     wait / 2);
    }
  }
  Insert(lane, found->second, aWork);
  return Accepted();
}

std::optional<WaitingWork> AdmissionQueue::Next(TimePoint aNow)
{
  ChooseHolder(aNow);
  std::optional<std::size_t> best;
  Rank bestRank;
  for (std::size_t i = 0; i < m_lanes.size(); ++i) {
    Lane& lane = m_lanes[i];
    if (lane.m_waiting.empty()) {
      continue;
    }
    ++m_comparisons;
    const auto head = lane.m_waiting.upper_bound({ aNow, kLastOrder });
    if (head == lane.m_waiting.end()) {
      continue;
    }
    const Obstacle obstacle = ObstacleFor(i, head->second, aNow);
    if (obstacle == Obstacle::kNoRoom) {
      lane.m_blockedSince = std::min(lane.m_blockedSince, aNow);
    }
    if (obstacle != Obstacle::kNone) {
      continue;
    }
    const Rank rank = RankOf(lane, head->first);
    if (!best || rank < bestRank) {
      best = i;
      bestRank = rank;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  WaitingWork work = m_lanes[*best].m_waiting.at(bestRank.m_head);
  Erase(*best, bestRank.m_head);
  return work;
}

void AdmissionQueue::PutBack(const WaitingWork& aWork,
                             const std::string& aReason,
                             TimePoint aNow)
{
  auto found = m_laneIndex.find(aWork.m_kind);
  if (found == m_laneIndex.end() || m_index.count(aWork.m_id) > 0) {
    return;
  }
  Lane& lane = m_lanes[found->second];
  lane.m_blockedAt = m_capacityChanges;
  lane.m_blockedSince = std::min(lane.m_blockedSince, aNow);
  lane.m_blockedReason = aReason;
  Insert(lane, found->second, aWork);
}

void AdmissionQueue::CapacityChanged()
{
  ++m_capacityChanges;
}

void AdmissionQueue::Started(const KindName& aKind,
                             const Resources& aDemand,
                             int aTasks,
                             TimePoint aNow)
{
  auto found = m_laneIndex.find(aKind);
  if (found == m_laneIndex.end()) {
    return;
  }
  Lane& lane = m_lanes[found->second];
  Account(lane, aDemand, aTasks, 1);
  UpdateRate(lane, aNow);
  lane.m_starts += 1.0;
  lane.m_blockedSince = TimePoint::max();
  if (m_holder == found->second) {
    m_holder.reset();
  }
}

void AdmissionQueue::Ended(const KindName& aKind,
                           const Resources& aDemand,
                           int aTasks)
{
  if (Lane* lane = FindLane(aKind)) {
    Account(*lane, aDemand, aTasks, -1);
    CapacityChanged();
  }
}

std::vector<WaitingWork> AdmissionQueue::TakeExpired(TimePoint aNow)
{
  std::vector<WaitingWork> expired;
  for (std::size_t i = 0; i < m_lanes.size(); ++i) {
    Lane& lane = m_lanes[i];
    while (!lane.m_waiting.empty() &&
           lane.m_waiting.begin()->first.first <= aNow) {
      WaitingWork work = lane.m_waiting.begin()->second;
      const Obstacle obstacle = ObstacleFor(i, work, aNow);
      work.m_reason = obstacle == Obstacle::kQuota
                        ? SchedulerError::kQuotaExceeded
                        : SchedulerError::kDeadlinePassed;
      work.m_detail = "waited " + Milliseconds(aNow - work.m_arrived) + ": " +
                      Describe(obstacle, lane);
      Erase(i, lane.m_waiting.begin()->first);
      expired.push_back(std::move(work));
    }
  }
  return expired;
}

bool AdmissionQueue::Remove(const RequestId& aRequest)
{
  auto found = m_index.find(aRequest);
  if (found == m_index.end()) {
    return false;
  }
  const std::pair<std::size_t, Position> place = found->second;
  Erase(place.first, place.second);
  return true;
}

std::string AdmissionQueue::Explain(const RequestId& aRequest,
                                    TimePoint aNow) const
{
  auto found = m_index.find(aRequest);
  if (found == m_index.end()) {
    return {};
  }
  const Lane& lane = m_lanes[found->second.first];
  std::size_t ahead = 0;
  for (auto work = lane.m_waiting.begin();
       work->first != found->second.second && ahead < kMostCounted;
       ++work) {
    ++ahead;
  }
  const WaitingWork& head = lane.m_waiting.begin()->second;
  const Obstacle obstacle = ObstacleFor(found->second.first, head, aNow);
  return "waits behind " + std::string(ahead == kMostCounted ? "over " : "") +
         std::to_string(ahead) + " of its kind: " + Describe(obstacle, lane);
}

TimePoint AdmissionQueue::NextExpiry() const
{
  TimePoint earliest = TimePoint::max();
  for (const Lane& lane : m_lanes) {
    if (!lane.m_waiting.empty()) {
      earliest = std::min(earliest, lane.m_waiting.begin()->first.first);
    }
  }
  return earliest;
}

std::size_t AdmissionQueue::Waiting(const KindName& aKind) const
{
  const Lane* lane = FindLane(aKind);
  return lane == nullptr ? 0 : lane->m_waiting.size();
}

void AdmissionQueue::BlockedDemand(Resources* aTotal,
                                   Resources* aLargestTask) const
{
  for (const Lane& lane : m_lanes) {
    const bool blocked = lane.m_blockedSince != TimePoint::max() &&
                         !lane.m_stopped && !lane.m_waiting.empty();
    if (!blocked) {
      continue;
    }
    const Resources task = DemandOf(lane, 1);
    const auto tasks = static_cast<std::int64_t>(lane.m_waiting.size()) *
                       std::max(1, lane.m_kind.m_tasks);
    *aTotal += task.Scaled(tasks, 1);
    *aLargestTask = Resources::Max(*aLargestTask, task);
  }
}

int AdmissionQueue::Running(const KindName& aKind) const
{
  const Lane* lane = FindLane(aKind);
  return lane == nullptr ? 0 : lane->m_running;
}

Resources AdmissionQueue::RunningOf(WorkClass aClass) const
{
  return m_classes[static_cast<std::size_t>(aClass)].m_used;
}

Resources AdmissionQueue::RunningOf(const TeamName& aTeam) const
{
  auto found = m_teamIndex.find(aTeam);
  return found == m_teamIndex.end() ? Resources()
                                    : m_teams[found->second].m_used;
}

const WorkKind* AdmissionQueue::KindWantingRoom(WorkClass aClass) const
{
  if (!m_classes[static_cast<std::size_t>(aClass)].InsideFloor()) {
    return nullptr;
  }
  auto found =
    std::find_if(m_lanes.begin(), m_lanes.end(), [&](const Lane& aLane) {
      return aLane.m_kind.m_class == aClass && !aLane.m_waiting.empty() &&
             aLane.m_blockedSince != TimePoint::max();
    });
  return found == m_lanes.end() ? nullptr : &found->m_kind;
}

bool AdmissionQueue::IsAboveFloor(WorkClass aClass) const
{
  const Group& group = m_classes[static_cast<std::size_t>(aClass)];
  return group.m_share > group.m_floor;
}

AdmissionQueue::Lane* AdmissionQueue::FindLane(const KindName& aKind)
{
  auto found = m_laneIndex.find(aKind);
  return found == m_laneIndex.end() ? nullptr : &m_lanes[found->second];
}

const AdmissionQueue::Lane* AdmissionQueue::FindLane(
  const KindName& aKind) const
{
  auto found = m_laneIndex.find(aKind);
  return found == m_laneIndex.end() ? nullptr : &m_lanes[found->second];
}

Resources AdmissionQueue::DemandOf(const Lane& aLane, int aTasks) const
{
  return aLane.m_kind.m_demand.Scaled(aTasks, 1);
}

AdmissionQueue::Group& AdmissionQueue::ClassOf(const Lane& aLane)
{
  return m_classes[static_cast<std::size_t>(aLane.m_kind.m_class)];
}

const AdmissionQueue::Group& AdmissionQueue::ClassOf(const Lane& aLane) const
{
  return m_classes[static_cast<std::size_t>(aLane.m_kind.m_class)];
}

AdmissionQueue::Obstacle AdmissionQueue::ObstacleFor(std::size_t aLane,
                                                     const WaitingWork& aHead,
                                                     TimePoint aNow) const
{
  const Lane& lane = m_lanes[aLane];
  const Group& team = m_teams[lane.m_team];
  const Resources demand = DemandOf(lane, aHead.m_tasks);
  if (lane.m_stopped) {
    return Obstacle::kStopped;
  }
  if (lane.m_kind.m_runningLimit > 0 &&
      lane.m_running + aHead.m_tasks > lane.m_kind.m_runningLimit) {
    return Obstacle::kRunningLimit;
  }
  if (team.m_quota < 1.0 &&
      (team.m_used + demand).DominantShare(m_capacity) > team.m_quota) {
    return Obstacle::kQuota;
  }
  if (!(m_used + demand).FitsIn(m_capacity)) {
    return Obstacle::kNoRoom;
  }
  if (lane.m_blockedAt == m_capacityChanges) {
    return Obstacle::kNoPlace;
  }
  if (!LeavesFloorsFree(lane, demand)) {
    return Obstacle::kFloorsOfOthers;
  }
  if (!LeavesKeptRoom(aLane, demand, aNow)) {
    return Obstacle::kRoomKept;
  }
  return Obstacle::kNone;
}

bool AdmissionQueue::LeavesFloorsFree(const Lane& aLane,
                                      const Resources& aDemand) const
{
  const Group& ownClass = ClassOf(aLane);
  const Group& ownTeam = m_teams[aLane.m_team];
  if (GivesBackSoon(aLane) || ownClass.InsideFloor() || ownTeam.InsideFloor()) {
    return true;
  }
  Resources ofClasses;
  for (const Group& group : m_classes) {
    if (&group != &ownClass) {
      ofClasses += group.m_unusedFloor;
    }
  }
  Resources ofTeams;
  for (const Group& group : m_teams) {
    if (&group != &ownTeam) {
      ofTeams += group.m_unusedFloor;
    }
  }
  const Resources setAside = Resources::Max(ofClasses, ofTeams);
  return (m_used + aDemand + setAside).FitsIn(m_capacity);
}

bool AdmissionQueue::LeavesKeptRoom(std::size_t aLane,
                                    const Resources& aDemand,
                                    TimePoint aNow) const
{
  if (!m_holder || *m_holder == aLane) {
    return true;
  }
  const Lane& lane = m_lanes[aLane];
  if (ClassOf(lane).InsideFloor()) {
    return true;
  }
  using std::chrono::milliseconds;
  const Lane& holder = m_lanes[*m_holder];
  const Resources demand =
    DemandOf(holder, holder.m_waiting.begin()->second.m_tasks);
  const Resources grown =
    demand.Scaled((kHoldGrowth + (aNow - m_holdSince)) / milliseconds(1),
                  kHoldGrowth / milliseconds(1));
  const Resources kept = Resources::Max(
    demand, Resources::Min(grown, m_capacity.Scaled(1, kMostKept)));
  return (m_used + aDemand + kept).FitsIn(m_capacity);
}

bool AdmissionQueue::GivesBackSoon(const Lane& aLane) const
{
  return aLane.m_kind.m_form != WorkForm::kService &&
         (aLane.m_kind.m_runTime <= kShortRunTime ||
          aLane.m_kind.m_checkpointable);
}

AdmissionQueue::Rank AdmissionQueue::RankOf(const Lane& aLane,
                                            const Position& aHead) const
{
  const Group& team = m_teams[aLane.m_team];
  Rank rank;
  rank.m_teamInsideFloor = team.InsideFloor();
  if (ClassOf(aLane).InsideFloor()) {
    rank.m_tier = 0;
  } else {
    rank.m_tier = rank.m_teamInsideFloor ? 1 : 2;
  }
  rank.m_class = aLane.m_kind.m_class;
  rank.m_teamShare = team.m_share;
  rank.m_head = aHead;
  return rank;
}

std::string AdmissionQueue::Describe(Obstacle aObstacle,
                                     const Lane& aLane) const
{
  switch (aObstacle) {
    case Obstacle::kNone:
      return "other work goes first";
    case Obstacle::kStopped:
      return "an operator stopped this kind of work";
    case Obstacle::kRunningLimit:
      return "its kind's limit of " +
             std::to_string(aLane.m_kind.m_runningLimit) +
             " running tasks is reached";
    case Obstacle::kQuota:
      return "the quota of team " + aLane.m_kind.m_team.Text() + " is in use";
    case Obstacle::kNoRoom:
      return "free are " + (m_capacity - m_used).Describe() +
             ", one task takes " + aLane.m_kind.m_demand.Describe();
    case Obstacle::kNoPlace:
      return aLane.m_blockedReason;
    case Obstacle::kFloorsOfOthers:
      return "the free room is the floor of other classes and teams";
    case Obstacle::kRoomKept:
      return "room is kept for " + m_lanes[*m_holder].m_kind.m_name.Text() +
             ", which has waited longer for a place";
  }
  return {};
}

void AdmissionQueue::Account(Lane& aLane,
                             const Resources& aDemand,
                             int aTasks,
                             int aSign)
{
  const Resources change = aDemand.Scaled(std::int64_t{ aTasks } * aSign, 1);
  aLane.m_running += aTasks * aSign;
  aLane.m_used += change;
  m_used += change;
  Group& ofClass = ClassOf(aLane);
  ofClass.m_used += change;
  RefreshGroup(ofClass);
  Group& ofTeam = m_teams[aLane.m_team];
  ofTeam.m_used += change;
  RefreshGroup(ofTeam);
}

void AdmissionQueue::RefreshGroup(Group& aGroup)
{
  aGroup.m_share = aGroup.m_used.DominantShare(m_capacity);
  aGroup.m_unusedFloor = Resources();
  if (aGroup.InsideFloor()) {
    aGroup.m_unusedFloor = Resources::Max(
      Resources(), ShareOf(m_capacity, aGroup.m_floor) - aGroup.m_used);
  }
}

void AdmissionQueue::RefreshAllGroups()
{
  for (Group& group : m_classes) {
    RefreshGroup(group);
  }
  for (Group& group : m_teams) {
    RefreshGroup(group);
  }
}

void AdmissionQueue::ChooseHolder(TimePoint aNow)
{
  if (m_holder && m_lanes[*m_holder].m_waiting.empty()) {
    m_holder.reset();
  }
  if (m_holder && aNow - m_holdSince > kHoldLimit) {
    m_lanes[*m_holder].m_blockedSince = aNow;
    m_holder.reset();
  }
  if (m_holder) {
    return;
  }
  for (std::size_t i = 0; i < m_lanes.size(); ++i) {
    const Lane& lane = m_lanes[i];
    const bool stuck = !lane.m_waiting.empty() && !lane.m_stopped &&
                       lane.m_blockedSince != TimePoint::max() &&
                       aNow - lane.m_blockedSince > kHoldAfter;
    if (!stuck || !DemandOf(lane, lane.m_waiting.begin()->second.m_tasks)
                     .FitsIn(m_capacity)) {
      continue;
    }
    if (!m_holder || lane.m_blockedSince < m_lanes[*m_holder].m_blockedSince) {
      m_holder = i;
      m_holdSince = aNow;
    }
  }
}

void AdmissionQueue::AddLanes()
{
  for (Lane& lane : m_lanes) {
    lane.m_listed = false;
  }
  for (const WorkKind& kind : m_catalogue->m_kinds) {
    auto found = m_laneIndex.find(kind.m_name);
    std::size_t lane = m_lanes.size();
    if (found != m_laneIndex.end()) {
      lane = found->second;
    } else if (!m_freeLanes.empty()) {
      lane = m_freeLanes.back();
      m_freeLanes.pop_back();
      m_lanes[lane] = Lane();
    } else {
      m_lanes.emplace_back();
    }
    m_laneIndex[kind.m_name] = lane;
    m_lanes[lane].m_kind = kind;
    m_lanes[lane].m_listed = true;
  }
}

void AdmissionQueue::ReleaseIdleLanes()
{
  for (std::size_t i = 0; i < m_lanes.size(); ++i) {
    const Lane& lane = m_lanes[i];
    const bool idle = lane.m_waiting.empty() && lane.m_running == 0;
    if (idle && !lane.m_listed && m_laneIndex.erase(lane.m_kind.m_name) > 0) {
      m_freeLanes.push_back(i);
    }
  }
}

std::size_t AdmissionQueue::OwnPart() const
{
  return m_limit / 2 / m_lanes.size();
}

void AdmissionQueue::CountShared()
{
  m_sharedWaiting = 0;
  for (const Lane& lane : m_lanes) {
    if (lane.m_waiting.size() > OwnPart()) {
      m_sharedWaiting += lane.m_waiting.size() - OwnPart();
    }
  }
}

void AdmissionQueue::UpdateRate(Lane& aLane, TimePoint aNow)
{
  // A gap longer than the memory is a pause of this process, and says nothing
  // about how fast work starts.
  const Duration gap = std::min(aNow - aLane.m_rateUpdated, kRateMemory);
  const double passed = Seconds(gap).count();
  aLane.m_rateUpdated = aNow;
  if (aLane.m_waiting.empty()) {
    return;
  }
  const double kept = std::exp(-passed / Seconds(kRateMemory).count());
  aLane.m_starts *= kept;
  aLane.m_busySeconds = aLane.m_busySeconds * kept + passed;
}

Duration AdmissionQueue::ExpectedWait(const Lane& aLane,
                                      const WaitingWork& aWork) const
{
  if (aLane.m_waiting.empty()) {
    return Duration::zero();
  }
  const bool last = aLane.m_waiting.rbegin()->first.first <= aWork.m_deadline;
  const auto ahead =
    static_cast<double>(aLane.m_waiting.size()) * (last ? 1.0 : 0.5);
  if (aLane.m_busySeconds >= kRateTrustedAfter && aLane.m_starts > 0.0) {
    return ToDuration(ahead * aLane.m_busySeconds / aLane.m_starts);
  }
  const double share = DemandOf(aLane, aWork.m_tasks).DominantShare(m_capacity);
  return ToDuration(ahead * share * Seconds(aLane.m_kind.m_runTime).count());
}

AdmissionVerdict AdmissionQueue::CheckRoom(const Lane& aLane,
                                           const WaitingWork& aWork) const
{
  const std::size_t waiting = aLane.m_waiting.size();
  const Duration wait = ExpectedWait(aLane, aWork);
  if (waiting >= aLane.m_kind.m_queueLimit) {
    return Refused(SchedulerError::kQueueFull,
                   std::to_string(waiting) + " requests of its kind wait",
                   wait / 4);
  }
  if (waiting >= OwnPart() && m_sharedWaiting >= m_limit / 2) {
    return Refused(SchedulerError::kQueueFull,
                   std::to_string(Waiting()) + " requests wait at this host",
                   wait / 4);
  }
  return Accepted();
}

void AdmissionQueue::Insert(Lane& aLane,
                            std::size_t aIndex,
                            const WaitingWork& aWork)
{
  if (aLane.m_waiting.size() >= OwnPart()) {
    ++m_sharedWaiting;
  }
  WaitingWork work = aWork;
  if (work.m_order == 0) {
    work.m_order = ++m_sequence;
  }
  const Position position{ work.m_deadline, work.m_order };
  aLane.m_waiting.emplace(position, std::move(work));
  m_index.emplace(aWork.m_id, std::make_pair(aIndex, position));
}

void AdmissionQueue::Erase(std::size_t aLane, const Position& aPosition)
{
  Lane& lane = m_lanes[aLane];
  if (lane.m_waiting.size() > OwnPart()) {
    --m_sharedWaiting;
  }
  auto found = lane.m_waiting.find(aPosition);
  m_index.erase(found->second.m_id);
  lane.m_waiting.erase(found);
}

} // namespace lycheestep
