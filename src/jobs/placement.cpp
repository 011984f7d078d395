#include "placement.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "target_state.h"

namespace lycheestep {

namespace {

// Work is too late to be of use to its caller if its estimated end is later
// than its due time plus its objective multiplied by this factor.
constexpr int kTooLateFactor = 3;

// The sort key of a candidate; the smallest is chosen.
using Score = std::tuple<bool, bool, bool, double>;

double FreeShare(const Resources& aFree, const TargetState& aTarget)
{
  return aFree.DominantShare(aTarget.m_record.m_capacity);
}

std::size_t FittingTasks(const PlacementCandidate& aCandidate,
                         const Resources& aDemand)
{
  return CountThatFit(aDemand, aCandidate.m_free, aCandidate.m_tasksLeft);
}

// Fills the given candidates one by one: those near the step's data first, then
// the one on which the most tasks fit, so that the gang is spread over few
// targets. Returns nothing if the gang does not fit.
std::optional<std::vector<std::size_t>> PackGang(
  const std::vector<PlacementCandidate>& aCandidates,
  std::vector<std::size_t> aUsable,
  const Resources& aDemand,
  std::size_t aCount)
{
  std::stable_sort(
    aUsable.begin(), aUsable.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const PlacementCandidate& left = aCandidates[aLeft];
      const PlacementCandidate& right = aCandidates[aRight];
      if (left.m_nearData != right.m_nearData) {
        return left.m_nearData;
      }
      return FittingTasks(left, aDemand) > FittingTasks(right, aDemand);
    });
  std::vector<std::size_t> chosen;
  for (const std::size_t index : aUsable) {
    const std::size_t fitting = FittingTasks(aCandidates[index], aDemand);
    const std::size_t taken = std::min(fitting, aCount - chosen.size());
    chosen.insert(chosen.end(), taken, index);
    if (chosen.size() == aCount) {
      return chosen;
    }
  }
  return std::nullopt;
}

} // namespace

const char* ToString(StepRank::Lateness aLateness)
{
  switch (aLateness) {
    case StepRank::Lateness::kInTime:
      return "in_time";
    case StepRank::Lateness::kLate:
      return "late";
    case StepRank::Lateness::kTooLate:
      return "too_late";
  }
  return "";
}

std::size_t CountThatFit(const Resources& aDemand,
                         const Resources& aFree,
                         std::size_t aMost)
{
  auto fit = static_cast<std::int64_t>(aMost);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    if (aDemand.Get(kind) > 0) {
      fit = std::min(fit, aFree.Get(kind) / aDemand.Get(kind));
    }
  }
  return fit > 0 ? static_cast<std::size_t>(fit) : 0;
}

Duration ObjectiveOf(const QueueConfig& aQueue, Duration aCriticalPath)
{
  const auto scaled = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, Duration::period>(aCriticalPath) *
    aQueue.m_slackFactor);
  return scaled + aQueue.m_latencyTarget;
}

StepRank RankOf(const QueueConfig& aQueue,
                Duration aCriticalPath,
                Duration aRemaining,
                TimePoint aDue,
                TimePoint aNow)
{
  const Duration objective = ObjectiveOf(aQueue, aCriticalPath);
  const TimePoint end = aNow + aRemaining;
  StepRank rank;
  rank.m_priority = aQueue.m_priority;
  rank.m_due = aDue;
  if (end > aDue + objective * kTooLateFactor) {
    rank.m_lateness = StepRank::Lateness::kTooLate;
  } else if (end > aDue + objective) {
    rank.m_lateness = StepRank::Lateness::kLate;
  }
  return rank;
}

std::optional<std::size_t> ChooseTarget(
  std::vector<PlacementCandidate>& aCandidates,
  const Resources& aDemand,
  const TargetId& aAvoid)
{
  std::optional<std::size_t> best;
  Score bestScore;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const PlacementCandidate& candidate = aCandidates[i];
    if (candidate.m_tasksLeft == 0 || !aDemand.FitsIn(candidate.m_free)) {
      continue;
    }
    const bool avoided = candidate.m_target->m_record.m_target == aAvoid;
    const Score score(candidate.m_quarantined,
                      avoided,
                      !candidate.m_nearData,
                      FreeShare(candidate.m_free, *candidate.m_target));
    if (!best || score < bestScore) {
      best = i;
      bestScore = score;
    }
  }
  if (best) {
    aCandidates[*best].m_free -= aDemand;
    --aCandidates[*best].m_tasksLeft;
  }
  return best;
}

std::optional<std::vector<std::size_t>> ChooseGang(
  const std::vector<PlacementCandidate>& aCandidates,
  const Resources& aDemand,
  std::size_t aCount,
  bool aSameRack)
{
  std::vector<std::size_t> all;
  std::map<RackName, std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    all.push_back(i);
    racks[aCandidates[i].m_target->m_record.m_rack].push_back(i);
  }
  if (aSameRack) {
    for (const auto& [rack, members] : racks) {
      auto chosen = PackGang(aCandidates, members, aDemand, aCount);
      if (chosen) {
        return chosen;
      }
    }
  }
  return PackGang(aCandidates, all, aDemand, aCount);
}

} // namespace lycheestep
