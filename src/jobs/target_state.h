#ifndef LYCHEESTEP_TARGET_STATE_H
#define LYCHEESTEP_TARGET_STATE_H

#include <cstdint>
#include <map>

#include "lycheestep/target_orders.h"
#include "lycheestep/target_record.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Whether the leader has taken a target under its fencing token.
enum class TargetPhase
{
  kUntaken, // not fenced yet, or it is uncertain which runs are there
  kTaking,  // a hold order under a new fencing token awaits its answer
  kHeld,    // fenced and listed: the accounted free capacity is exact
};

// A run that uses capacity of a target, or may use it.
struct TargetRun
{
  Resources m_demand;
  // The start was sent. While this is false, the run only reserves capacity.
  bool m_sent = false;
  // True once the target has listed the run or confirmed its start;
  // m_confirmedAt says when.
  bool m_confirmed = false;
  TimePoint m_confirmedAt;
  // A stop was requested. The order is sent again until the target lists the
  // end of the run.
  bool m_stopRequested = false;
  // The target listed the run, but no job of this leader has it.
  bool m_ofUnknownJob = false;
  TimePoint m_stopSentAt;
  std::uint32_t m_percentDone = 0;
  // When the start was sent, or when the target first listed the run if it did
  // so before it answered the start.
  TimePoint m_startedAt;
};

// What the leader knows about one target, and the orders in flight to it.
struct TargetState
{
  TargetRecord m_record;
  // The platform's list has the target.
  bool m_listed = false;
  TargetPhase m_phase = TargetPhase::kUntaken;
  FencingToken m_fence = 0;
  // A start was sent under m_fence. It may still arrive late, so only a listing
  // under a higher token is certain.
  bool m_fenceUsed = false;
  std::map<RunName, TargetRun> m_runs;
  // The sum of the demands in m_runs.
  Resources m_used;

  // Numbers of the last end of this incarnation that was processed, and of the
  // last one that is stored. Zero: none.
  std::uint64_t m_lastEndSeen = 0;
  std::uint64_t m_lastEndStored = 0;
  // The number of the last end that the target was allowed to forget by a hold
  // that it answered.
  std::uint64_t m_lastEndForgotten = 0;

  // The newest reading of the target's clock and when it was received.
  bool m_clockKnown = false;
  TargetTime m_clock{ 0 };
  TimePoint m_clockReadAt;
  // The latest lease end sent to this incarnation, whether answered or not.
  TargetTime m_leaseEnd{ 0 };
  // When all leases have expired that an earlier leader may have given, or that
  // a start meant for the former incarnation may give this one.
  TimePoint m_formerLeaseExpiry;

  // A hold on HoldPath::kWatch, or on HoldPath::kOrders, awaits its answer.
  bool m_watchHoldInFlight = false;
  bool m_takeHoldInFlight = false;
  TimePoint m_lastHoldSent;
  // No hold is sent before m_retryAt. m_holdFailures counts the holds that
  // failed since the last one that was answered.
  TimePoint m_retryAt;
  std::uint32_t m_holdFailures = 0;
  // The last hold was answered, so it is certain which incarnation answers.
  bool m_answersHolds = false;

  // No starts are sent before this time, because the target refused some, tasks
  // failed there in a row or a task made no progress.
  TimePoint m_quarantinedUntil;
  std::uint32_t m_refusals = 0;
  std::uint32_t m_consecutiveFailures = 0;

  // Returns the free capacity. It is negative if runs whose demand is unknown
  // may be on the target.
  Resources Free() const { return m_record.m_capacity - m_used; }

  // Returns true if new runs may be sent to the target.
  bool TakesWork(TimePoint aNow) const;

  // Returns the time when every lease given has expired, by the leader's clock,
  // even if the target's clock runs as slowly as it may.
  TimePoint LeaseExpiry() const;

  // Estimates the target's clock at aNow. The target's own clock shows the same
  // time or a later one.
  TargetTime ClockLowerBound(TimePoint aNow) const;
};

} // namespace lycheestep

#endif
