#include "invariant_checker.h"

#include <algorithm>
#include <utility>

#include "rows.pb.h"

namespace lycheestep {

namespace {

// A leaving target may still get work for this long.
constexpr Duration kLeavingLimit = std::chrono::seconds(5);
// An accepted catalogue is in force on every reachable host after this long.
constexpr Duration kInForceLimit = std::chrono::seconds(19);

// A host that was out of reach of the platform within this time before a
// moment counts as out of its reach then.
constexpr Duration kReachSample = std::chrono::seconds(1);
constexpr const char* kCatalogueKey = "catalogue/current";
// More breaches of one sort tell nothing new.
constexpr std::size_t kMostOfOneSort = 5;

std::string Seconds(TimePoint aTime)
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aTime - VirtualCell::Beginning())
      .count();
  const std::string fraction = std::to_string(1000 + milliseconds % 1000);
  return std::to_string(milliseconds / 1000) + "." + fraction.substr(1) + " s";
}

} // namespace

const char* ToString(Invariant aInvariant)
{
  static constexpr const char* kNames[] = { "over-commit",   "two-places",
                                            "whole-answers", "not-run",
                                            "at-most-once",  "leaving-targets",
                                            "planned-stops", "configuration",
                                            "lost-work",     "promises" };
  return kNames[static_cast<int>(aInvariant)];
}

InvariantChecker::InvariantChecker(const VirtualCell& aCell)
  : m_cell(aCell)
{
  for (const CallerRequest& request : m_cell.Callers().Requests()) {
    m_requests.emplace(request.m_id, &request);
  }
  CollectRuns();
  for (const TableHistoryEntry& entry : m_cell.Platform().Table().History()) {
    proto::CatalogueRow row;
    if (entry.m_key == kCatalogueKey && row.ParseFromString(entry.m_value)) {
      m_accepted.emplace_back(entry.m_time, row.version());
    }
  }
}

std::vector<Violation> InvariantChecker::Check()
{
  m_violations.clear();
  CheckOverCommit();
  CheckRuns();
  CheckAnswers();
  CheckLeavingTargets();
  CheckPlannedStops();
  CheckConfiguration();
  CheckLostWork();
  CheckPromises();
  return std::move(m_violations);
}

void InvariantChecker::CollectRuns()
{
  const TimePoint now = VirtualCell::Beginning() + m_cell.Elapsed();
  for (const auto& [id, target] : m_cell.Targets()) {
    for (const TaskRecord& record : target->Ledger().m_tasks) {
      Run run;
      run.m_from = record.m_started;
      run.m_to = record.m_end == TaskEnd::kRunning ? now : record.m_ended;
      run.m_target = id;
      run.m_record = &record;
      m_runs[record.m_request].push_back(run);
    }
  }
  for (auto& [request, runs] : m_runs) {
    std::stable_sort(
      runs.begin(), runs.end(), [](const Run& aLeft, const Run& aRight) {
        return aLeft.m_from < aRight.m_from;
      });
  }
}

void InvariantChecker::Report(Invariant aInvariant, std::string aWhat)
{
  const auto known = std::count_if(m_violations.begin(),
                                   m_violations.end(),
                                   [aInvariant](const Violation& aOne) {
                                     return aOne.m_invariant == aInvariant;
                                   });
  if (static_cast<std::size_t>(known) < kMostOfOneSort) {
    m_violations.push_back({ aInvariant, std::move(aWhat) });
  }
}

const WorkKind* InvariantChecker::KindOf(const RequestId& aRequest) const
{
  auto found = m_requests.find(aRequest);
  return found == m_requests.end()
           ? nullptr
           : m_cell.Layout().m_catalogue->FindKind(found->second->m_kind);
}

std::size_t InvariantChecker::TasksOf(const RequestId& aRequest) const
{
  const WorkKind* kind = KindOf(aRequest);
  return kind == nullptr ? 1 : static_cast<std::size_t>(kind->m_tasks);
}

void InvariantChecker::CheckOverCommit()
{
  for (const auto& [id, target] : m_cell.Targets()) {
    const TargetLedger& ledger = target->Ledger();
    if (!ledger.m_peak.FitsIn(target->Listing().m_capacity)) {
      Report(Invariant::kOverCommit,
             id.Text() + " was given " + ledger.m_peak.Describe());
    }
    for (const RefusedStart& refused : ledger.m_refused) {
      if (refused.m_cause == RefusalCause::kNoRoom) {
        Report(Invariant::kOverCommit,
               id.Text() + " had no room for " + refused.m_attempt.Text() +
                 " at " + Seconds(refused.m_time));
      }
    }
  }
}

void InvariantChecker::CheckRuns()
{
  for (const auto& [request, runs] : m_runs) {
    const std::size_t tasks = TasksOf(request);
    for (std::size_t i = 0; i < runs.size(); ++i) {
      std::size_t together = 1;
      for (std::size_t j = 0; j < i; ++j) {
        together += runs[j].m_to > runs[i].m_from ? 1 : 0;
      }
      if (together > tasks) {
        Report(Invariant::kTwoPlaces,
               request.Text() + " ran " + std::to_string(together) +
                 " times at once when it started on " +
                 runs[i].m_target.Text() + " at " + Seconds(runs[i].m_from));
      }
    }
    const WorkKind* kind = KindOf(request);
    if (kind != nullptr && !kind->m_repeatable && runs.size() > tasks) {
      Report(Invariant::kAtMostOnce,
             request.Text() + " started " + std::to_string(runs.size()) +
               " times, last on " + runs.back().m_target.Text() + " at " +
               Seconds(runs.back().m_from));
    }
  }
}

void InvariantChecker::CheckAnswers()
{
  if (m_cell.Callers().StrayAnswers() > 0) {
    Report(Invariant::kWholeAnswers,
           std::to_string(m_cell.Callers().StrayAnswers()) +
             " answers to calls that nobody made there");
  }
  for (const auto& [ticket, call] : m_cell.Callers().Calls()) {
    const CallerRequest& request = m_cell.Callers().Requests()[call.m_request];
    if (call.m_answers.size() > 1) {
      Report(Invariant::kWholeAnswers,
             "a call for " + request.m_id.Text() + " was answered " +
               std::to_string(call.m_answers.size()) + " times");
    }
    for (const Answer& answer : call.m_answers) {
      CheckAnswer(call, answer);
    }
    for (std::size_t i = 0; i < call.m_heard; ++i) {
      CheckNotRun(request, call.m_answers[i]);
    }
  }
}

void InvariantChecker::CheckAnswer(const CallRecord& aCall,
                                   const Answer& aAnswer)
{
  const CallerRequest& request = m_cell.Callers().Requests()[aCall.m_request];
  if (aAnswer.m_request != request.m_id) {
    Report(Invariant::kWholeAnswers,
           "a call for " + request.m_id.Text() + " got the answer to " +
             aAnswer.m_request.Text());
    return;
  }
  if (aAnswer.m_notFound || aAnswer.m_pending) {
    return;
  }
  if (aAnswer.m_outcome == Outcome::kDone) {
    CheckDone(request, aAnswer);
  }
}

void InvariantChecker::CheckNotRun(const CallerRequest& aRequest,
                                   const Answer& aAnswer)
{
  const bool said = aAnswer.m_outcome == Outcome::kNotRun &&
                    !aAnswer.m_notFound && !aAnswer.m_pending &&
                    aAnswer.m_request == aRequest.m_id;
  if (said && m_runs.count(aRequest.m_id) > 0) {
    const Run& run = m_runs.at(aRequest.m_id).front();
    Report(Invariant::kNotRun,
           aRequest.m_id.Text() + " was said not to have run (" +
             aAnswer.m_detail + ") and started on " + run.m_target.Text() +
             " at " + Seconds(run.m_from));
  }
}

void InvariantChecker::CheckDone(const CallerRequest& aRequest,
                                 const Answer& aAnswer)
{
  const std::string whole = WorkModel::AnswerTo(aRequest.m_id);
  const bool gang = TasksOf(aRequest.m_id) > 1;
  const bool matches = gang ? aAnswer.m_body.find(whole) != std::string::npos
                            : aAnswer.m_body == whole;
  if (!aAnswer.m_error && !matches) {
    Report(Invariant::kWholeAnswers,
           aRequest.m_id.Text() + " is done, and its answer is \"" +
             aAnswer.m_body + "\"");
  }
  const TaskEnd wanted =
    aAnswer.m_error ? TaskEnd::kFailed : TaskEnd::kSucceeded;
  const auto runs = m_runs.find(aRequest.m_id);
  const bool ran =
    runs != m_runs.end() &&
    std::any_of(runs->second.begin(),
                runs->second.end(),
                [wanted, &aAnswer](const Run& aRun) {
                  return aRun.m_record->m_end == wanted ||
                         (aAnswer.m_error &&
                          aRun.m_record->m_end != TaskEnd::kRunning);
                });
  if (!ran) {
    Report(Invariant::kWholeAnswers,
           aRequest.m_id.Text() + " is said to be done and did not run so");
  }
}

bool InvariantChecker::KnewOfLeaving(const TaskRecord& aRecord,
                                     TimePoint aSince) const
{
  const auto starter = m_cell.Starters().find(aRecord.m_attempt);
  if (starter == m_cell.Starters().end()) {
    return true;
  }
  const auto gaps = m_cell.Unreached().find(starter->second);
  if (gaps == m_cell.Unreached().end()) {
    return true;
  }
  // Only the platform's list tells it. The limit counts from the last moment
  // at which the host could not read the list.
  TimePoint from = aSince;
  for (const TimePoint gap : gaps->second) {
    from = gap <= aRecord.m_started ? std::max(from, gap) : from;
  }
  return aRecord.m_started > from + kLeavingLimit;
}

void InvariantChecker::CheckLeavingTargets()
{
  for (const auto& [id, target] : m_cell.Targets()) {
    const auto since = target->LeavingSince();
    if (!since) {
      continue;
    }
    for (const TaskRecord& record : target->Ledger().m_tasks) {
      if (record.m_started > *since + kLeavingLimit &&
          KnewOfLeaving(record, *since)) {
        Report(Invariant::kLeavingTargets,
               id.Text() + " leaves since " + Seconds(*since) + " and got " +
                 record.m_attempt.Text() + " at " + Seconds(record.m_started));
      }
    }
  }
}

bool InvariantChecker::RanToItsLimit(const WorkKind& aKind, const Run& aRun)
{
  return aKind.m_runTimeLimit != Duration::zero() &&
         aRun.m_to - aRun.m_from >= aKind.m_runTimeLimit;
}

void InvariantChecker::CheckPlannedStops()
{
  for (const std::string& cut : m_cell.CutByStops()) {
    Report(Invariant::kPlannedStops, cut);
  }
  for (const auto& [request, runs] : m_runs) {
    const WorkKind* kind = KindOf(request);
    const bool cutShort = kind != nullptr &&
                          kind->m_form == WorkForm::kRequest &&
                          kind->m_runTimeLimit == Duration::zero() &&
                          !m_requests.at(request)->m_cancelAsked;
    for (const Run& run : runs) {
      if (cutShort && run.m_record->m_end == TaskEnd::kStopped) {
        Report(Invariant::kPlannedStops,
               request.Text() + " was stopped on " + run.m_target.Text());
      }
    }
  }
}

void InvariantChecker::CheckConfiguration()
{
  for (std::size_t i = 1; i < m_accepted.size(); ++i) {
    if (m_accepted[i].second <= m_accepted[i - 1].second) {
      Report(Invariant::kConfiguration,
             "version " + std::to_string(m_accepted[i].second) +
               " was accepted after " +
               std::to_string(m_accepted[i - 1].second));
    }
  }
  std::map<EntryId, std::vector<VersionSight>> byHost;
  for (const VersionSight& sight : m_cell.Operators().Sights()) {
    byHost[sight.m_entry].push_back(sight);
  }
  for (const auto& [entry, sights] : byHost) {
    CheckHostVersions(entry, sights);
  }
}

// A process that starts in an outage takes the greatest version that its peers
// hold. Where no process in its reach has the newest one, that is an older one
// than its host had before.
bool InvariantChecker::MayStartOlder(const VersionSight& aSight,
                                     const std::vector<TimePoint>& aUnreached)
{
  const bool platformOut = std::any_of(
    aUnreached.begin(), aUnreached.end(), [&aSight](TimePoint aTime) {
      return aTime <= aSight.m_time && aSight.m_time - aTime <= kReachSample;
    });
  return platformOut && !aSight.m_newerInReach;
}

void InvariantChecker::CheckHostVersions(
  const EntryId& aEntry,
  const std::vector<VersionSight>& aSights)
{
  static const std::vector<TimePoint> kNever;
  const auto found = m_cell.Unreached().find(aEntry);
  const std::vector<TimePoint>& unreached =
    found == m_cell.Unreached().end() ? kNever : found->second;
  std::uint64_t greatest = 0;
  std::uint64_t incarnation = 0;
  for (const VersionSight& sight : aSights) {
    if (sight.m_incarnation != incarnation && sight.m_version != 0) {
      incarnation = sight.m_incarnation;
      greatest = MayStartOlder(sight, unreached) ? 0 : greatest;
    }
    // Zero: a host that has just started has no catalogue yet.
    if (sight.m_version != 0 && sight.m_version < greatest) {
      Report(Invariant::kConfiguration,
             aEntry.Text() + " went back from version " +
               std::to_string(greatest) + " to " +
               std::to_string(sight.m_version) + " at " +
               Seconds(sight.m_time));
    }
    greatest = std::max(greatest, sight.m_version);
    const TimePoint by = sight.m_time - kInForceLimit;
    const auto next = std::upper_bound(unreached.begin(), unreached.end(), by);
    if (next != unreached.end() && *next <= sight.m_time) {
      continue;
    }
    std::uint64_t wanted = 0;
    for (const auto& [time, version] : m_accepted) {
      wanted = time <= by ? std::max(wanted, version) : wanted;
    }
    if (sight.m_version < wanted) {
      Report(Invariant::kConfiguration,
             aEntry.Text() + " still has version " +
               std::to_string(sight.m_version) + " at " +
               Seconds(sight.m_time) + ", not " + std::to_string(wanted));
    }
  }
}

void InvariantChecker::CheckLostWork()
{
  for (const CallerRequest& request : m_cell.Callers().Requests()) {
    if (request.m_forgotten) {
      Report(Invariant::kLostWork,
             request.m_id.Text() + " was accepted and then not found");
    }
  }
}

void InvariantChecker::CheckPromises()
{
  for (const auto& [request, runs] : m_runs) {
    const WorkKind* kind = KindOf(request);
    if (kind == nullptr || m_requests.at(request)->m_cancelAsked ||
        m_cell.Layout()
          .m_catalogue->PromisedCustomersOf(kind->m_name)
          .empty()) {
      continue;
    }
    for (const Run& run : runs) {
      const bool slowed = run.m_record->m_end == TaskEnd::kStopped ||
                          run.m_record->m_end == TaskEnd::kCheckpointed;
      if (slowed && !RanToItsLimit(*kind, run) &&
          !WasAnnounced(kind->m_name, run.m_to)) {
        Report(Invariant::kPromises,
               request.Text() + " was stopped on " + run.m_target.Text() +
                 " at " + Seconds(run.m_to) + " with nobody called");
      }
    }
  }
}

bool InvariantChecker::WasAnnounced(const KindName& aKind,
                                    TimePoint aBefore) const
{
  const auto& calls = m_cell.Operators().Calls();
  return std::any_of(
    calls.begin(), calls.end(), [&](const OperatorCall& aCall) {
      return aCall.m_verb == OperatorVerb::kAnnounce && aCall.m_kind == aKind &&
             aCall.m_sent <= aBefore;
    });
}

} // namespace lycheestep
