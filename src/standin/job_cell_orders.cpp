// The part of JobCellModel::Term that carries orders to targets and their
// answers back, with the faults of the cell.
#include "job_cell_term.h"

namespace lycheestep {

template<class Order>
void JobCellModel::Term::QueueOrder(const Order& aOrder, HoldPath aPath)
{
  Connection& connection = m_connections[{ aOrder.m_to.m_target, aPath }];
  connection.m_queue.Add(aOrder, m_cell.m_now);
  SendWaiting(connection, aPath);
}

template<class Answer>
void JobCellModel::Term::Carry(const OrderAddress& aTo,
                               std::function<Answer(JobTargetModel&)> aOrder,
                               Duration aAnswerTime,
                               std::function<void(const Answer&)> aAnswered)
{
  std::size_t index = 0;
  JobTargetModel* target = TargetAt(aTo, &index);
  const auto silent = [this, aAnswered] {
    Tell(kOrderTimeout, [aAnswered] { aAnswered(Answer()); });
  };
  if (target != nullptr && aTo.m_address != target->Record().m_address) {
    Tell(m_cell.Way(), [aAnswered] {
      Answer answer;
      answer.m_status = OrderStatus::kNotSent;
      aAnswered(answer);
    });
    return;
  }
  if (target == nullptr || m_cell.m_cut[index]) {
    silent();
    return;
  }
  if (m_cell.m_downUntil[index] > m_cell.m_now) {
    Tell(m_cell.Way(), [aAnswered] { aAnswered(Answer()); });
    return;
  }
  const WallTime incarnation = target->Record().m_started;
  if (m_cell.Chance(m_cell.m_faults.m_lateOrders)) {
    std::uniform_int_distribution<Duration::rep> delay(kEarliestLate.count(),
                                                       kLatestLate.count());
    m_cell.At(Duration(delay(m_cell.m_random)), [=] {
      // What a process has not carried out yet ends with it.
      if (target->Record().m_started == incarnation) {
        m_cell.m_carriesOutLate = true;
        m_cell.m_ordersHarmedAt = m_cell.m_now;
        aOrder(*target);
        m_cell.m_carriesOutLate = false;
      }
    });
    silent();
    return;
  }
  const bool lost = m_cell.Chance(m_cell.m_faults.m_lostOrders);
  m_cell.At(m_cell.Way() + m_cell.Draw(m_cell.m_faults.m_slowWay), [=] {
    if (!Reaches<Answer>(*target, incarnation)) {
      Tell(m_cell.Way(), [aAnswered] { aAnswered(Answer()); });
      return;
    }
    const Answer answer = aOrder(*target);
    const bool silenced = m_cell.m_cut[index] || m_cell.m_mute[index];
    if (lost || silenced || aAnswerTime > kOrderTimeout) {
      silent();
      return;
    }
    Tell(aAnswerTime + m_cell.Way(),
         [aAnswered, answer] { aAnswered(answer); });
  });
}

template<class Answer>
bool JobCellModel::Term::Reaches(const JobTargetModel& aTarget,
                                 WallTime aIncarnation) const
{
  const bool outlives = m_cell.m_faults.m_ordersOutliveTargets &&
                        std::is_same_v<Answer, OrderAnswer>;
  return outlives || aTarget.Record().m_started == aIncarnation;
}

void JobCellModel::Term::Start(const StartOrder& aOrder)
{
  QueueOrder(aOrder, HoldPath::kOrders);
}

void JobCellModel::Term::Stop(const StopOrder& aOrder)
{
  QueueOrder(aOrder, HoldPath::kOrders);
}

void JobCellModel::Term::Hold(const HoldOrder& aOrder, HoldPath aPath)
{
  QueueOrder(aOrder, aPath);
}

void JobCellModel::Term::Withdraw(const WithdrawOrder& aOrder)
{
  Connection& connection =
    m_connections[{ aOrder.m_target, HoldPath::kOrders }];
  connection.m_queue.Withdraw(aOrder);
  SendWaiting(connection, HoldPath::kOrders);
}

void JobCellModel::Term::SendWaiting(Connection& aConnection, HoldPath aPath)
{
  SendStops(aConnection, aPath);
  SendNext(aConnection, aPath);
}

void JobCellModel::Term::SendStops(Connection& aConnection, HoldPath aPath)
{
  while (aConnection.m_stopsUnderWay < kMaxStopsUnderWay) {
    const auto stop =
      aConnection.m_queue.Take(Duration::zero(), OrderSelection::kStops);
    if (!stop) {
      return;
    }
    ++aConnection.m_stopsUnderWay;
    SendOrder(*stop, aPath, [this, &aConnection, aPath] {
      --aConnection.m_stopsUnderWay;
      SendWaiting(aConnection, aPath);
    });
  }
}

void JobCellModel::Term::SendNext(Connection& aConnection, HoldPath aPath)
{
  while (!aConnection.m_isSending) {
    const auto queued =
      aConnection.m_queue.Take(Duration::zero(), OrderSelection::kAllButStops);
    if (!queued) {
      return;
    }
    aConnection.m_isSending = !queued->m_withdrawn;
    const Done done = [this, &aConnection, aPath] {
      aConnection.m_isSending = false;
      SendWaiting(aConnection, aPath);
    };
    SendOrder(*queued, aPath, done);
  }
}

void JobCellModel::Term::SendOrder(const QueuedOrder& aQueued,
                                   HoldPath aPath,
                                   const Done& aDone)
{
  if (const auto* start = std::get_if<StartOrder>(&aQueued.m_order)) {
    SendStart(*start, aQueued.m_withdrawn, aDone);
  } else if (const auto* stop = std::get_if<StopOrder>(&aQueued.m_order)) {
    SendStop(*stop, aQueued.m_withdrawn, aDone);
  } else if (const auto* hold = std::get_if<HoldOrder>(&aQueued.m_order)) {
    SendHold(*hold, aPath, aDone);
  }
}

void JobCellModel::Term::SendStart(const StartOrder& aOrder,
                                   bool aWithdrawn,
                                   const Done& aDone)
{
  const auto unanswered = m_unanswered.find(aOrder.m_to.m_target);
  const bool isUncertain = unanswered != m_unanswered.end() &&
                           unanswered->second >= aOrder.m_to.m_fence;
  const bool skipped = isUncertain || !MayStart();
  if (aWithdrawn || skipped) {
    OrderAnswer answer;
    answer.m_status =
      aWithdrawn ? OrderStatus::kWithdrawn : OrderStatus::kNotSent;
    Tell(Duration::zero(), [this, aOrder, answer, aWithdrawn, aDone] {
      m_scheduler.OnStartAnswer(aOrder, answer, m_cell.m_now);
      if (!aWithdrawn) {
        aDone();
      }
    });
    return;
  }
  Carry<OrderAnswer>(
    aOrder.m_to,
    [this, aOrder](JobTargetModel& aTarget) {
      return aTarget.Start(aOrder, m_cell.m_now);
    },
    SlowTime(aOrder.m_to, m_cell.m_faults.m_slowStart),
    [this, aOrder, aDone](const OrderAnswer& aAnswer) {
      if (aAnswer.m_status == OrderStatus::kUnknown) {
        m_unanswered[aOrder.m_to.m_target] = aOrder.m_to.m_fence;
      }
      m_scheduler.OnStartAnswer(aOrder, aAnswer, m_cell.m_now);
      aDone();
    });
}

void JobCellModel::Term::SendStop(const StopOrder& aOrder,
                                  bool aWithdrawn,
                                  const Done& aDone)
{
  if (aWithdrawn) {
    return; // nothing follows from the report of a withdrawn stop
  }
  if (Vanishes(aOrder)) {
    m_cell.At(kOrderTimeout, aDone);
    return;
  }
  const bool isRefused = SlowTime(aOrder.m_to, kTick) > Duration::zero() &&
                         m_cell.Chance(m_cell.m_faults.m_refusedStops);
  Carry<OrderAnswer>(
    aOrder.m_to,
    [this, aOrder, isRefused](JobTargetModel& aTarget) {
      OrderAnswer refusal;
      refusal.m_status = OrderStatus::kUnhealthy;
      return isRefused ? refusal : aTarget.Stop(aOrder, m_cell.m_now);
    },
    SlowTime(aOrder.m_to, m_cell.m_faults.m_slowStop),
    [this, aOrder, aDone](const OrderAnswer& aAnswer) {
      m_scheduler.OnStopAnswer(aOrder, aAnswer, m_cell.m_now);
      aDone();
    });
}

bool JobCellModel::Term::Vanishes(const StopOrder& aOrder)
{
  std::uint32_t& vanished = m_cell.m_vanishedStops[aOrder.m_run];
  if (vanished >= m_cell.m_faults.m_vanishingStops) {
    return false;
  }
  ++vanished;
  return true;
}

void JobCellModel::Term::SendHold(const HoldOrder& aOrder,
                                  HoldPath aPath,
                                  const Done& aDone)
{
  std::size_t index = 0;
  const JobTargetModel* target = TargetAt(aOrder.m_to, &index);
  const WallTime incarnation =
    target != nullptr ? target->Record().m_started : WallTime(0);
  const bool isForOther =
    aOrder.m_to.m_started.count() != 0 && aOrder.m_to.m_started != incarnation;
  // TargetOrders answers a hold for another process at once.
  const Duration wait = isForOther ? Duration::zero() : aOrder.m_wait;
  HoldUntil(aOrder, aPath, m_cell.m_now + wait, incarnation, aDone);
}

JobTargetModel* JobCellModel::Term::TargetAt(const OrderAddress& aTo,
                                             std::size_t* aIndex)
{
  const auto found = m_cell.m_indexOf.find(aTo.m_target);
  if (found == m_cell.m_indexOf.end()) {
    return nullptr;
  }
  *aIndex = found->second;
  return m_cell.m_targets[found->second].get();
}

Duration JobCellModel::Term::SlowTime(const OrderAddress& aTo, Duration aTime)
{
  std::size_t index = 0;
  const bool isSlow = TargetAt(aTo, &index) != nullptr && index % 2 == 1;
  return isSlow ? aTime : Duration::zero();
}

void JobCellModel::Term::HoldUntil(const HoldOrder& aOrder,
                                   HoldPath aPath,
                                   TimePoint aUntil,
                                   WallTime aIncarnation,
                                   const Done& aDone)
{
  std::size_t index = 0;
  const JobTargetModel* target = TargetAt(aOrder.m_to, &index);
  const bool broken =
    target != nullptr && (target->Record().m_started != aIncarnation ||
                          m_cell.m_downUntil[index] > m_cell.m_now);
  if (broken) {
    Tell(m_cell.Way(), [this, aOrder, aPath, aDone] {
      m_scheduler.OnHoldAnswer(aOrder, aPath, HoldAnswer(), m_cell.m_now);
      aDone();
    });
    return;
  }
  const bool waits = target != nullptr && !m_cell.m_cut[index] &&
                     m_cell.m_now < aUntil &&
                     !target->HasEnds(aOrder.m_forgetEnds);
  if (waits) {
    m_cell.At(kTick, [this, aOrder, aPath, aUntil, aIncarnation, aDone] {
      HoldUntil(aOrder, aPath, aUntil, aIncarnation, aDone);
    });
    return;
  }
  Carry<HoldAnswer>(
    aOrder.m_to,
    [this, aOrder](JobTargetModel& aTarget) {
      HoldAnswer answer = aTarget.Hold(aOrder, m_cell.m_now);
      m_cell.m_ledger.OnReported(aOrder.m_to.m_target, answer);
      return answer;
    },
    SlowTime(aOrder.m_to, m_cell.m_faults.m_slowHold),
    [this, aOrder, aPath, aDone](const HoldAnswer& aAnswer) {
      m_scheduler.OnHoldAnswer(aOrder, aPath, aAnswer, m_cell.m_now);
      aDone();
    });
}

} // namespace lycheestep
