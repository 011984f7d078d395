#ifndef LYCHEESTEP_TARGET_STATE_H
#define LYCHEESTEP_TARGET_STATE_H

#include <cstdint>
#include <map>
#include <string>

#include "failure_evidence.h"
#include "lycheestep/target_orders.h"
#include "lycheestep/target_record.h"
#include "lycheestep/time_types.h"
#include "run_stop.h"

namespace lycheestep {

// Whether the leader has taken a target under its fencing token.
enum class TargetPhase
{
  kUntaken, // not fenced yet, or it is uncertain which runs are on the target
  kTaking,  // a hold order that takes the target awaits its reply
  kHeld,    // taken under m_fence and its runs are listed: Free() is exact
};

// Returns the phase's name in logs.
const char* ToString(TargetPhase aPhase);

// A run that uses capacity of a target, or may use it.
struct TargetRun
{
  Resources m_demand;
  // When the process started on which a reserved run was placed. The start goes
  // to no other: a next leader may have proved that no run is on this one.
  WallTime m_process{ 0 };
  // True once the start was sent. Until then, the run only reserves capacity.
  bool m_sent = false;
  // True once the target has listed the run or confirmed its start;
  // m_confirmedAt says when.
  bool m_confirmed = false;
  TimePoint m_confirmedAt;
  // True once the target's known incarnation has listed the run. The reply to
  // a start does not tell which incarnation took it.
  bool m_isListed = false;
  // True if the target listed the run, but no job of this leader has it.
  bool m_ofUnknownJob = false;
  RunStop m_stop;
  // The run's progress in percent, and when the target reported it.
  std::uint32_t m_percentDone = 0;
  TimePoint m_percentAt;
  // The estimated run time of the whole task.
  Duration m_estimate = Duration::zero();
  // When the start was sent, or when the target first listed the run if it did
  // so before it replied to the start.
  TimePoint m_startedAt;

  // Returns when the run is expected to end: by its progress if it has reported
  // any, else by its estimate. Not before aNow.
  TimePoint ExpectedEnd(TimePoint aNow) const;
};

// What the leader knows about one target, and the orders in flight to it.
struct TargetState
{
  TargetRecord m_record;
  // The address at which the target last answered, by this leader or an earlier
  // one; none if unknown. Orders go there while the one in m_record fails.
  NetworkAddress m_answeredAddress;
  bool m_usesAnsweredAddress = false;
  // True if the target is in the platform's list.
  bool m_listed = false;
  // True if the list has a later target on the same machine, which answers.
  bool m_isReplaced = false;
  // True if an earlier leader gave work to the target.
  bool m_remembered = false;
  TargetPhase m_phase = TargetPhase::kUntaken;
  FencingToken m_fence = 0;
  // True if the target has to be taken under a higher token than m_fence next
  // time: a start was sent under m_fence and may still arrive after the target
  // has listed its runs, or the lease expired, or a run is missing.
  bool m_fenceUsed = false;
  std::map<RunName, TargetRun> m_runs;
  // The sum of the demands in m_runs.
  Resources m_used;

  // The number of the last run end of this incarnation that was processed, and
  // of the last one that is stored. Zero if there is none.
  std::uint64_t m_lastEndSeen = 0;
  std::uint64_t m_lastEndStored = 0;
  // The highest number of a run end that a hold allowed the target to forget,
  // of the holds to which the target replied. Zero if there is none.
  std::uint64_t m_lastEndForgotten = 0;

  // The newest reading of the target's clock and when it was received.
  bool m_clockKnown = false;
  TargetTime m_clock{ 0 };
  TimePoint m_clockReadAt;
  // The latest lease end sent to this incarnation, by the target's clock, even
  // if the target did not reply to the order.
  TargetTime m_leaseEnd{ 0 };
  // The time by which two kinds of leases have expired: those that an earlier
  // leader may have granted, and those that an order meant for one incarnation
  // may grant to the next one, whose clock is behind.
  TimePoint m_formerLeaseExpiry;

  // True if a hold on HoldPath::kWatch, or on HoldPath::kOrders, awaits its
  // reply.
  bool m_watchHoldInFlight = false;
  bool m_takeHoldInFlight = false;
  TimePoint m_lastHoldSent;
  // No hold is sent before m_retryAt. m_holdFailures is the number of holds
  // that failed in a row.
  TimePoint m_retryAt;
  std::uint32_t m_holdFailures = 0;
  // True if the last hold succeeded. False before the first reply to a hold,
  // after a failed hold and after the target restarted.
  bool m_answersHolds = false;

  // False if the last stop by the usual host found no connection to the target.
  bool m_isConnected = true;

  // No starts are sent before this time, because the target refused m_refusals
  // of them in a row.
  TimePoint m_startRetryAt;
  std::uint32_t m_refusals = 0;
  // What tasks that failed there say of the target.
  FailureEvidence m_failures;

  // Returns the address to which orders go; none if it is not known.
  const NetworkAddress& Address() const
  {
    return m_usesAnsweredAddress ? m_answeredAddress : m_record.m_address;
  }

  // Chooses the other one of two addresses, if there are two.
  void TryOtherAddress();

  // Returns the free capacity. It is negative if runs whose demand is unknown
  // may be on the target.
  Resources Free() const { return m_record.m_capacity - m_used; }

  // Returns true if the target's capacity is part of its service.
  bool IsInService() const { return m_listed && !m_isReplaced; }

  // Returns true if a start was sent and the target has not listed its run.
  bool HasUnlistedStart() const;

  // Returns true if new runs may be sent to the target.
  bool TakesWork(TimePoint aNow) const;

  // Returns true if new runs should go to other targets, see AvoidedTargets.
  bool IsQuarantined(TimePoint aNow) const
  {
    return m_failures.m_quarantinedUntil > aNow;
  }

  // Returns the time when every lease given has expired, by the leader's clock,
  // even if the target's clock runs as slowly as it may.
  TimePoint LeaseExpiry() const;

  // Estimates the target's clock at aNow. The target's own clock shows the same
  // time or a later one.
  TargetTime ClockLowerBound(TimePoint aNow) const;
};

// Returns the log fields that say under which fencing token the leader holds
// the target, and which process of it (its start time; 0 if unknown).
std::string HoldFields(const TargetState& aTarget);

} // namespace lycheestep

#endif
