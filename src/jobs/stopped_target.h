#ifndef LYCHEESTEP_STOPPED_TARGET_H
#define LYCHEESTEP_STOPPED_TARGET_H

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

#include <gmock/gmock.h>

#include "mock_job_effects.h"
#include "mock_run_listener.h"
#include "model_address.h"
#include "single_step_job.h"
#include "target_manager.h"

namespace lycheestep {

// The fencing token of the leader.
constexpr FencingToken kStopToken = 5;

// A fixture: a new leader that expects runs of a former one on a target, and
// stops them.
class StoppedTarget : public testing::Test
{
protected:
  StoppedTarget()
    : m_manager(TargetManagerSettings(), m_effects, m_listener)
  {
    m_record.m_target = TargetId("t");
    m_record.m_address = ModelAddress(1);
    m_record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    ON_CALL(m_effects, Stop(testing::_))
      .WillByDefault([this](const StopOrder& aOrder) {
        const bool isUsual = aOrder.m_route == OrderRoute::kUsual;
        (isUsual ? m_stops : m_otherHostStops).push_back(aOrder);
      });
    ON_CALL(m_effects, Hold(testing::_, HoldPath::kOrders))
      .WillByDefault(
        [this](const HoldOrder& aOrder, HoldPath) { m_take = aOrder; });
    m_manager.SetFencingToken(kStopToken);
    m_manager.SetFormerLeaseExpiry(m_now + std::chrono::seconds(9));
  }

  void ExpectRuns(std::uint32_t aCount)
  {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      m_manager.ExpectRun(m_record.m_target,
                          MakeRun(i),
                          Resources(100, 100, 0, 0, 0),
                          std::chrono::seconds(9));
    }
  }

  void StopRuns(std::uint32_t aCount)
  {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      m_manager.Stop(m_record.m_target, MakeRun(i), m_now);
    }
  }

  void Remember() { m_manager.OnTargetRemembered(AddressOf(m_record)); }

  void Pass(Duration aTime)
  {
    m_now += aTime;
    m_manager.Tick(m_now);
  }

  // Answer the stops that the usual host, or other hosts, were to send, and
  // forget them.
  void AnswerStops(OrderStatus aStatus) { Answer(m_stops, aStatus); }
  void AnswerOtherHostStops(OrderStatus aStatus)
  {
    Answer(m_otherHostStops, aStatus);
  }

  void Answer(std::vector<StopOrder>& aStops, OrderStatus aStatus)
  {
    const std::vector<StopOrder> stops = std::exchange(aStops, {});
    for (const StopOrder& stop : stops) {
      OrderAnswer answer;
      answer.m_status = aStatus;
      m_manager.OnStopAnswer(stop, answer, m_now);
    }
  }

  // Answers the hold that takes the target. Its runs are still there.
  void AnswerTake(std::uint32_t aRuns, WallTime aStarted = WallTime(0))
  {
    HoldAnswer answer;
    answer.m_started = aStarted;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = TargetTime(100);
    for (std::uint32_t i = 0; i < aRuns; ++i) {
      RunningTask task;
      task.m_run = MakeRun(i);
      answer.m_running.push_back(task);
    }
    m_manager.OnHoldAnswer(m_take, HoldPath::kOrders, answer, m_now);
  }

  TimePoint m_now{ std::chrono::seconds(1000) };
  TargetRecord m_record;
  testing::NiceMock<MockJobEffects> m_effects;
  testing::NiceMock<MockRunListener> m_listener;
  TargetManager m_manager;
  // Those that the usual host is to send, and those of other hosts.
  std::vector<StopOrder> m_stops;
  std::vector<StopOrder> m_otherHostStops;
  HoldOrder m_take;
};

} // namespace lycheestep

#endif
