#ifndef LYCHEESTEP_ONE_TASK_TARGET_H
#define LYCHEESTEP_ONE_TASK_TARGET_H

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <thread>
#include <vector>

#include "boot_clock.h"
#include "lycheestep/target_orders.h"

namespace lycheestep {

// A target with room for one task, which runs until EndAll, also when a stop
// was answered.
class OneTaskTarget : public TargetOrders
{
public:
  bool HasStarted(const JobId& aJob) const { return StartsOf(aJob) > 0; }

  std::size_t StartsOf(const JobId& aJob) const
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::size_t>(
      std::count(m_started.begin(), m_started.end(), aJob));
  }

  bool WasStopped(const JobId& aJob) const
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::count(m_stopped.begin(), m_stopped.end(), aJob) > 0;
  }

  void EndAll()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const RunningTask& task : m_running) {
      m_ended.push_back(
        EndedTask{ m_ended.size() + 1, task.m_run, RunEnd::kDone, "" });
    }
    m_running.clear();
  }

  OrderAnswer Start(const StartOrder& aOrder, Duration /*aTimeout*/) override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_started.push_back(aOrder.m_run.m_task.m_step.m_job);
    RunningTask task;
    task.m_run = aOrder.m_run;
    m_running.push_back(task);
    return MakeAnswer();
  }

  OrderAnswer Stop(const StopOrder& aOrder, Duration /*aTimeout*/) override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped.push_back(aOrder.m_run.m_task.m_step.m_job);
    return MakeAnswer();
  }

  OrderAnswer Pace(const PaceOrder& /*aOrder*/, Duration /*aTimeout*/) override
  {
    return MakeAnswer();
  }

  HoldAnswer Hold(const HoldOrder& aOrder, Duration /*aTimeout*/) override
  {
    std::this_thread::sleep_for(
      std::min<Duration>(aOrder.m_wait, std::chrono::milliseconds(50)));
    const std::lock_guard<std::mutex> lock(m_mutex);
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = Clock();
    answer.m_started = WallTime(1);
    answer.m_running = m_running;
    for (const EndedTask& end : m_ended) {
      if (end.m_number > aOrder.m_forgetEnds) {
        answer.m_ended.push_back(end);
      }
    }
    return answer;
  }

private:
  static TargetTime Clock()
  {
    return std::chrono::duration_cast<TargetTime>(
      BootClockNow().time_since_epoch());
  }

  static OrderAnswer MakeAnswer()
  {
    OrderAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = Clock();
    return answer;
  }

  mutable std::mutex m_mutex;
  std::vector<JobId> m_started;
  std::vector<JobId> m_stopped;
  std::vector<RunningTask> m_running;
  std::vector<EndedTask> m_ended;
};

} // namespace lycheestep

#endif
