#include "expectation_checker.h"

#include <algorithm>
#include <iomanip>

namespace lycheestep {

namespace {

constexpr double kTenThousand = 10000.0;

double Share(std::size_t aPart, std::size_t aWhole)
{
  return aWhole == 0 ? 0.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

Duration PercentileOf(const std::vector<Duration>& aSorted, int aPercentile)
{
  if (aSorted.empty()) {
    return Duration::zero();
  }
  const std::size_t rank =
    (aSorted.size() * static_cast<std::size_t>(aPercentile) + 99) / 100;
  return aSorted[std::max<std::size_t>(rank, 1) - 1];
}

std::string Percent(double aShare)
{
  const auto hundredths = static_cast<std::int64_t>(aShare * kTenThousand);
  const std::string fraction = std::to_string(100 + hundredths % 100);
  return std::to_string(hundredths / 100) + "." + fraction.substr(1) + "%";
}

} // namespace

ExpectationChecker::ExpectationChecker(const VirtualCell& aCell)
  : m_cell(aCell)
{
  std::map<RequestId, TimePoint> firstStarts;
  for (const auto& [id, target] : m_cell.Targets()) {
    for (const TaskRecord& record : target->Ledger().m_tasks) {
      auto [found, fresh] =
        firstStarts.emplace(record.m_request, record.m_started);
      found->second = std::min(found->second, record.m_started);
    }
  }
  for (const CallerRequest& request : m_cell.Callers().Requests()) {
    KindTally& tally = m_tallies[request.m_kind];
    ++tally.m_sent;
    if (request.m_cancelAsked) {
      ++tally.m_cancelled;
    } else if (request.m_final) {
      const bool done = request.m_final->m_outcome == Outcome::kDone;
      tally.m_done += done && !request.m_final->m_error ? 1 : 0;
      tally.m_failed += done && request.m_final->m_error ? 1 : 0;
      tally.m_notRun += done ? 0 : 1;
    } else if (request.m_unknownAnswers > 0) {
      ++tally.m_unknown;
    } else if (request.m_acknowledged) {
      ++tally.m_pending;
    } else {
      ++tally.m_noAnswer;
    }
    auto start = firstStarts.find(request.m_id);
    if (start != firstStarts.end()) {
      tally.m_waits.push_back(start->second - request.m_sent);
    }
  }
  for (auto& [kind, tally] : m_tallies) {
    std::sort(tally.m_waits.begin(), tally.m_waits.end());
  }
  CollectPeakUse();
}

void ExpectationChecker::CollectPeakUse()
{
  std::multimap<TimePoint, std::pair<bool, Resources>> changes;
  Resources whole;
  for (const auto& [id, target] : m_cell.Targets()) {
    whole += target->Listing().m_capacity;
    for (const TaskRecord& record : target->Ledger().m_tasks) {
      changes.emplace(record.m_started, std::make_pair(true, record.m_demand));
      if (record.m_end != TaskEnd::kRunning) {
        changes.emplace(record.m_ended, std::make_pair(false, record.m_demand));
      }
    }
  }
  Resources given;
  for (const auto& [time, change] : changes) {
    if (change.first) {
      given += change.second;
    } else {
      given -= change.second;
    }
    m_peakUse = std::max(m_peakUse, given.DominantShare(whole));
  }
}

std::string ExpectationChecker::Check(const Expectation& aExpectation) const
{
  switch (aExpectation.m_verb) {
    case ExpectationVerb::kAlways:
      // The invariants are checked whether a scenario names them or not.
      return "";
    case ExpectationVerb::kAllDone:
    case ExpectationVerb::kAllAnswered:
      return CheckAll(aExpectation);
    case ExpectationVerb::kWait:
      return CheckWait(aExpectation);
    case ExpectationVerb::kTableWrites: {
      const auto peak = m_cell.Platform().PeakWritesPerSecond();
      return peak <= static_cast<std::uint64_t>(aExpectation.m_bound)
               ? ""
               : std::to_string(peak) + " in one second";
    }
    case ExpectationVerb::kPeakUse:
      return m_peakUse * kTenThousand >=
                 static_cast<double>(aExpectation.m_bound)
               ? ""
               : "it was " + Percent(m_peakUse);
    case ExpectationVerb::kRunning:
      return CheckRunning(aExpectation);
    case ExpectationVerb::kShareDone:
    case ExpectationVerb::kShareNotRun:
    case ExpectationVerb::kShareUnknown:
    case ExpectationVerb::kShareNoAnswer:
      return CheckShare(aExpectation);
    default:
      return CheckOperator(aExpectation);
  }
}

std::string ExpectationChecker::CheckAll(const Expectation& aExpectation) const
{
  const TimePoint by = VirtualCell::Beginning() + aExpectation.m_time;
  std::size_t missing = 0;
  std::string first;
  for (const CallerRequest& request : m_cell.Callers().Requests()) {
    if (request.m_kind.Text() != aExpectation.m_name || request.m_cancelAsked) {
      continue;
    }
    bool holds = request.m_final && request.m_finalAt <= by;
    if (aExpectation.m_verb == ExpectationVerb::kAllAnswered) {
      holds = holds || (!request.m_final && request.m_saidUnknown);
    } else if (holds) {
      holds = request.m_final->m_outcome == Outcome::kDone &&
              !request.m_final->m_error;
    }
    if (!holds) {
      ++missing;
      if (first.empty()) {
        first = request.m_id.Text();
        if (request.m_final) {
          first += " (" + request.m_final->m_error.message() + ", " +
                   request.m_final->m_detail + ")";
        }
      }
    }
  }
  return missing == 0 ? ""
                      : std::to_string(missing) + " are not, first " + first;
}

std::string ExpectationChecker::CheckWait(const Expectation& aExpectation) const
{
  const KindTally& tally = TallyOf(aExpectation.m_name);
  if (tally.m_waits.empty()) {
    return "none started";
  }
  const Duration wait = PercentileOf(tally.m_waits, aExpectation.m_percentile);
  return wait <= aExpectation.m_time
           ? ""
           : "it was " + std::to_string(ToMilliseconds(wait)) + "ms";
}

std::string ExpectationChecker::CheckShare(
  const Expectation& aExpectation) const
{
  const KindTally& tally = TallyOf(aExpectation.m_name);
  const double bound = static_cast<double>(aExpectation.m_bound) / kTenThousand;
  std::size_t part = tally.m_noAnswer;
  if (aExpectation.m_verb == ExpectationVerb::kShareDone) {
    const double done = Share(tally.m_done, tally.m_sent - tally.m_cancelled);
    return done >= bound ? "" : "it was " + Percent(done);
  }
  if (aExpectation.m_verb == ExpectationVerb::kShareNotRun) {
    part = tally.m_notRun;
  } else if (aExpectation.m_verb == ExpectationVerb::kShareUnknown) {
    part = tally.m_unknown;
  }
  const double share = Share(part, tally.m_sent);
  return share <= bound ? "" : "it was " + Percent(share);
}

std::string ExpectationChecker::CheckRunning(
  const Expectation& aExpectation) const
{
  std::int64_t running = 0;
  for (const auto& [id, target] : m_cell.Targets()) {
    for (const TaskRecord& record : target->Ledger().m_tasks) {
      running += record.m_end == TaskEnd::kRunning &&
                     record.m_kind.Text() == aExpectation.m_name
                   ? 1
                   : 0;
    }
  }
  return running >= aExpectation.m_bound
           ? ""
           : "there were " + std::to_string(running);
}

std::string ExpectationChecker::CheckOperator(
  const Expectation& aExpectation) const
{
  if (aExpectation.m_verb == ExpectationVerb::kOneWins) {
    const bool one = TookEffect(aExpectation.m_name);
    const bool other = TookEffect(aExpectation.m_other);
    if (one != other) {
      return "";
    }
    return one ? "both did" : "neither did";
  }
  const OperatorCall* call = LastCallOf(aExpectation.m_name);
  if (call == nullptr || !call->m_reply) {
    return "there was no answer";
  }
  const std::string seen =
    call->m_reply->m_error ? call->m_reply->m_error.message() : "it succeeded";
  const bool done = TookEffect(aExpectation.m_name);
  if (aExpectation.m_verb == ExpectationVerb::kOperatorDone) {
    return done ? "" : seen;
  }
  if (aExpectation.m_verb == ExpectationVerb::kHeldForCalls) {
    return !done && !call->m_reply->m_toCall.empty() ? "" : seen;
  }
  return done ? seen : "";
}

bool ExpectationChecker::TookEffect(const std::string& aOperator) const
{
  const OperatorCall* call = LastCallOf(aOperator);
  return call != nullptr && call->m_reply && !call->m_reply->m_error &&
         !call->m_reply->m_unknown;
}

const OperatorCall* ExpectationChecker::LastCallOf(
  const std::string& aOperator) const
{
  const OperatorCall* last = nullptr;
  for (const OperatorCall& call : m_cell.Operators().Calls()) {
    if (call.m_label == aOperator) {
      last = &call;
    }
  }
  return last;
}

const KindTally& ExpectationChecker::TallyOf(const std::string& aKind) const
{
  static const KindTally kNone;
  auto found = m_tallies.find(KindName(aKind));
  return found == m_tallies.end() ? kNone : found->second;
}

void ExpectationChecker::Summarize(std::ostream& aStream) const
{
  for (const auto& [kind, tally] : m_tallies) {
    aStream << kind.Text() << ": " << tally.m_sent << " sent, " << tally.m_done
            << " done, " << tally.m_failed << " failed, " << tally.m_notRun
            << " not run, " << tally.m_unknown << " unknown, "
            << tally.m_pending << " pending, " << tally.m_noAnswer
            << " without answer, " << tally.m_cancelled
            << " cancelled; wait p50 "
            << ToMilliseconds(PercentileOf(tally.m_waits, 50)) << " ms, p99 "
            << ToMilliseconds(PercentileOf(tally.m_waits, 99)) << " ms, max "
            << ToMilliseconds(PercentileOf(tally.m_waits, 100)) << " ms\n";
  }
  const TableCounts& counts = m_cell.Platform().Table().Counts();
  aStream << "table: " << counts.m_transactions << " transactions, "
          << counts.m_conflicts << " conflicts, " << counts.m_reads
          << " reads, at most " << m_cell.Platform().PeakWritesPerSecond()
          << " writes in a second\n";
  aStream << "targets: peak use " << Percent(m_peakUse) << '\n';
}

} // namespace lycheestep
