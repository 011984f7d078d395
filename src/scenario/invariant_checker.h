#ifndef LYCHEESTEP_INVARIANT_CHECKER_H
#define LYCHEESTEP_INVARIANT_CHECKER_H

#include <map>
#include <string>
#include <vector>

#include "lycheestep/id.h"
#include "target_model.h"
#include "virtual_cell.h"

namespace lycheestep {

// One line of "What must always hold".
enum class Invariant
{
  kOverCommit,     // no host is given more than it has
  kTwoPlaces,      // no task runs in two places at once
  kWholeAnswers,   // each call gets the whole answer to its own request
  kNotRun,         // what was said not to have run did not run
  kAtMostOnce,     // not repeatable work runs at most once
  kLeavingTargets, // leaving targets get no new work
  kPlannedStops,   // planned stops cut nothing off
  kConfiguration,  // accepted versions are in force soon and never revert
  kLostWork,       // acknowledged work is not forgotten
  kPromises,       // promised customers are called before a slowdown
};

// The name of an invariant in scenarios: "over-commit", "two-places", ...
const char* ToString(Invariant aInvariant);

// One breach and where it shows.
struct Violation
{
  Invariant m_invariant = Invariant::kOverCommit;
  std::string m_what;
};

// Checks everything that must always hold, from what the table, the targets
// and the callers of a cell have seen, never from what its entry hosts say of
// themselves.
class InvariantChecker
{
public:
  explicit InvariantChecker(const VirtualCell& aCell);

  // All breaches up to now, in a fixed order.
  std::vector<Violation> Check();

private:
  struct Run
  {
    TimePoint m_from;
    TimePoint m_to;
    TargetId m_target;
    const TaskRecord* m_record = nullptr;
  };

  void CollectRuns();
  void Report(Invariant aInvariant, std::string aWhat);
  const WorkKind* KindOf(const RequestId& aRequest) const;
  std::size_t TasksOf(const RequestId& aRequest) const;

  // True for a run that was stopped because it took too long.
  static bool RanToItsLimit(const WorkKind& aKind, const Run& aRun);

  void CheckOverCommit();
  void CheckRuns();
  void CheckAnswers();
  void CheckAnswer(const CallRecord& aCall, const Answer& aAnswer);
  void CheckNotRun(const CallerRequest& aRequest, const Answer& aAnswer);
  void CheckDone(const CallerRequest& aRequest, const Answer& aAnswer);
  void CheckLeavingTargets();
  bool KnewOfLeaving(const TaskRecord& aRecord, TimePoint aSince) const;
  void CheckPlannedStops();
  void CheckConfiguration();
  static bool MayStartOlder(const VersionSight& aSight,
                            const std::vector<TimePoint>& aUnreached);
  void CheckHostVersions(const EntryId& aEntry,
                         const std::vector<VersionSight>& aSights);
  void CheckLostWork();
  void CheckPromises();
  bool WasAnnounced(const KindName& aKind, TimePoint aBefore) const;

  const VirtualCell& m_cell;
  std::map<RequestId, std::vector<Run>> m_runs;
  std::map<RequestId, const CallerRequest*> m_requests;
  std::vector<std::pair<TimePoint, std::uint64_t>> m_accepted;
  std::vector<Violation> m_violations;
};

} // namespace lycheestep

#endif
