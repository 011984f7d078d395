#ifndef LYCHEESTEP_VIRTUAL_HOST_H
#define LYCHEESTEP_VIRTUAL_HOST_H

#include <cstdint>
#include <memory>
#include <vector>

#include "lycheestep/action.h"
#include "lycheestep/event.h"
#include "lycheestep/scheduler.h"
#include "lycheestep/scheduler_settings.h"
#include "network_model.h"

namespace lycheestep {

// A host's own monotonic clock: it starts anywhere and runs a little fast or
// slow.
struct HostClock
{
  Duration m_offset = Duration::zero();
  // Millionths by which it runs fast.
  int m_skewPpm = 0;

  // The clock's reading at a time of the cell, and back.
  TimePoint Local(TimePoint aCell) const;
  TimePoint Cell(TimePoint aLocal) const;
};

// Bytes and messages of one host, for the control cost.
struct HostTraffic
{
  std::uint64_t m_events = 0;
  // Time of the processor that the decision core took.
  std::chrono::nanoseconds m_processorTime{ 0 };

  std::uint64_t m_peerMessagesOut = 0;
  std::uint64_t m_peerBytesOut = 0;
  std::uint64_t m_peerMessagesIn = 0;
  std::uint64_t m_peerBytesIn = 0;

  // Calls, and their questions and answers together; bytes are counted only
  // when the layout asks for it.
  std::uint64_t m_tableCalls = 0;
  std::uint64_t m_tableBytes = 0;
  std::uint64_t m_hostLists = 0;
  std::uint64_t m_hostListBytes = 0;
  std::uint64_t m_renewals = 0;
  std::uint64_t m_renewalBytes = 0;
  std::uint64_t m_renewedLeases = 0;
  // Starts, controls, queries and ends.
  std::uint64_t m_taskCalls = 0;
  std::uint64_t m_taskBytes = 0;
};

// One entry host: the real decision core and the state of its process.
class VirtualHost
{
public:
  VirtualHost(SchedulerSettings aSettings, HostClock aClock);

  // A new process that knows nothing.
  void Start(TimePoint aNow);
  // The process is gone, and everything with it.
  void Kill();
  // The process handles nothing until Resume; what arrives is kept.
  void Pause() { m_paused = true; }
  void Resume() { m_paused = false; }

  bool IsAlive() const { return m_scheduler != nullptr; }
  bool IsPaused() const { return m_paused; }
  bool IsRunning() const { return IsAlive() && !m_paused; }
  bool IsStopping() const { return m_stopping; }
  void SetStopping() { m_stopping = true; }

  // Grows with each Start; tells the processes of one host apart.
  std::uint64_t Incarnation() const { return m_incarnation; }

  Scheduler& Core() { return *m_scheduler; }
  const Scheduler& Core() const { return *m_scheduler; }
  const EntryId& Name() const { return m_settings.m_entry; }
  const SchedulerSettings& Settings() const { return m_settings; }
  const HostClock& ClockOf() const { return m_clock; }
  Place At() const;

  // What arrived, and what was to be sent, while the process was paused.
  std::vector<Event>& Inbox() { return m_inbox; }
  ActionList& Outbox() { return m_outbox; }

  // The armed wake-up; an older one is ignored.
  std::uint64_t& WakeupNumber() { return m_wakeupNumber; }

  HostTraffic& Traffic() { return m_traffic; }
  const HostTraffic& Traffic() const { return m_traffic; }

private:
  SchedulerSettings m_settings;
  HostClock m_clock;
  std::unique_ptr<Scheduler> m_scheduler;
  bool m_paused = false;
  bool m_stopping = false;
  std::uint64_t m_incarnation = 0;
  std::vector<Event> m_inbox;
  ActionList m_outbox;
  std::uint64_t m_wakeupNumber = 0;
  HostTraffic m_traffic;
};

} // namespace lycheestep

#endif
