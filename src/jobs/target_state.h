#ifndef LYCHEESTEP_TARGET_STATE_H
#define LYCHEESTEP_TARGET_STATE_H

#include <cstdint>
#include <map>

#include "lycheestep/target_orders.h"
#include "lycheestep/target_record.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// How far the leader is with taking a target.
enum class TargetPhase
{
  kUntaken, // not fenced yet, or what runs there has become uncertain
  kTaking,  // a hold under a new fencing token is under way
  kHeld,    // fenced and listed: the account of its room is exact
};

// One run that takes room on a target, or may.
struct TargetRun
{
  Resources m_demand;
  // The start was sent; until then the run only reserves room.
  bool m_sent = false;
  // The target listed it or answered its start, and when.
  bool m_confirmed = false;
  TimePoint m_confirmedAt;
  // It is to end; the stop is repeated until its end is listed.
  bool m_stopRequested = false;
  // Listed by the target, but none of the jobs that are known has it.
  bool m_ofUnknownJob = false;
  TimePoint m_stopSentAt;
  std::uint32_t m_percentDone = 0;
  // When it was first known to run.
  TimePoint m_startedAt;
};

// All that the leader knows of one target.
struct TargetState
{
  TargetRecord m_record;
  // It stands in the platform's list.
  bool m_listed = false;
  TargetPhase m_phase = TargetPhase::kUntaken;
  FencingToken m_fence = 0;
  // A start was sent under m_fence, so only a higher one settles what runs.
  bool m_fenceUsed = false;
  std::map<RunName, TargetRun> m_runs;
  Resources m_used;

  // Ends up to these numbers were acted on, and are stored.
  std::uint64_t m_lastEndSeen = 0;
  std::uint64_t m_lastEndStored = 0;
  // The target has answered a hold that let it forget ends up to here.
  std::uint64_t m_lastEndForgotten = 0;

  // The newest reading of the target's clock and when it came in.
  bool m_clockKnown = false;
  TargetTime m_clock{ 0 };
  TimePoint m_clockReadAt;
  // The latest lease end that was sent to this incarnation, answered or not.
  TargetTime m_leaseEnd{ 0 };
  // When a lease that an earlier leader may have given is over.
  TimePoint m_formerLeaseExpiry;

  bool m_watchHoldInFlight = false;
  bool m_takeHoldInFlight = false;
  TimePoint m_lastHoldSent;
  TimePoint m_retryAt;
  std::uint32_t m_holdFailures = 0;
  // The last hold on this path came back, so the incarnation is known.
  bool m_answersHolds = false;

  // Starts are held back until then, after the target refused some or tasks
  // failed there in a row.
  TimePoint m_quarantinedUntil;
  std::uint32_t m_refusals = 0;
  std::uint32_t m_consecutiveFailures = 0;

  // What is free. Negative when runs of unknown size may be there.
  Resources Free() const { return m_record.m_capacity - m_used; }

  // True when new runs may be sent.
  bool TakesWork(TimePoint aNow) const;

  // When every lease that was given is over, whatever the target does.
  TimePoint LeaseExpiry() const;

  // A reading of the target's clock that is not ahead of it.
  TargetTime ClockLowerBound(TimePoint aNow) const;
};

} // namespace lycheestep

#endif
