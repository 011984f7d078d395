#ifndef LYCHEESTEP_JOB_CELL_TERM_H
#define LYCHEESTEP_JOB_CELL_TERM_H

#include <functional>
#include <map>
#include <type_traits>
#include <utility>
#include <vector>

#include "ignored_metrics.h"
#include "job_cell_model.h"
#include "order_queue.h"
#include "run_text.h"

namespace lycheestep {

// One leader: the decisions under test, and the ways to and from it.
class JobCellModel::Term : public JobEffects
{
public:
  explicit Term(JobCellModel& aCell)
    : m_cell(aCell)
    , m_scheduler(SettingsOf(aCell), *this)
    , m_rowVersion(aCell.m_leaderVersion)
  {
  }

  void Die() { m_alive = false; }
  bool IsAlive() const { return m_alive; }
  JobScheduler& Scheduler() { return m_scheduler; }

  void Freeze(TimePoint aUntil) { m_frozenUntil = aUntil; }

  void Step()
  {
    if (IsFrozen()) {
      return;
    }
    SetTime();
    m_scheduler.Tick(m_cell.m_now);
  }

  void SetTime()
  {
    m_scheduler.SetTime(m_cell.m_now,
                        kWallStart +
                          std::chrono::duration_cast<WallTime>(m_cell.Now()));
  }

  // Tells the scheduler something after a way, if it still lives then.
  void Tell(Duration aDelay, std::function<void()> aTask)
  {
    m_cell.At(aDelay, [this, task = std::move(aTask)] {
      if (m_alive && IsFrozen()) {
        Tell(m_frozenUntil - m_cell.m_now, task);
      } else if (m_alive) {
        SetTime();
        task();
      }
    });
  }

  void Commit(std::vector<RowWrite> aWrites,
              std::vector<RowKey> aRemovals) override
  {
    m_cell.At(m_cell.Way(),
              [this,
               writes = std::move(aWrites),
               removals = std::move(aRemovals)] { Write(writes, removals); });
  }

  void Start(const StartOrder& aOrder) override
  {
    QueueOrder(aOrder, HoldPath::kOrders);
  }

  void Stop(const StopOrder& aOrder) override
  {
    QueueOrder(aOrder, HoldPath::kOrders);
  }

  void Pace(const PaceOrder& /*aOrder*/) override {}

  void Hold(const HoldOrder& aOrder, HoldPath aPath) override
  {
    QueueOrder(aOrder, aPath);
  }

  void Withdraw(const WithdrawOrder& aOrder) override
  {
    Connection& connection =
      m_connections[{ aOrder.m_target, HoldPath::kOrders }];
    connection.m_queue.Withdraw(aOrder);
    SendWaiting(connection, HoldPath::kOrders);
  }

  void Forget(const TargetId& /*aTarget*/) override {}

  bool CanAsk() const override { return m_asking < m_cell.m_advisor.m_hosts; }

  void Ask(const AdviceRequest& aRequest, Duration aTurn) override
  {
    ++m_asking;
    Tell(aTurn + m_cell.Way(), [this, aRequest] {
      --m_asking;
      AdviceAnswer answer;
      answer.m_ticket = aRequest.m_ticket;
      answer.m_answered = true;
      answer.m_validFor = m_cell.m_advisor.m_validFor;
      for (const TargetId& target : aRequest.m_targets) {
        if (m_cell.IsFit(aRequest.m_step, target)) {
          answer.m_good.push_back(AdvisedTarget{ target, "ticket" });
        }
      }
      m_scheduler.OnAdvice(answer, m_cell.m_now);
    });
  }

  void Log(const std::string& aEvent, const std::string& aFields) override
  {
    if (m_cell.m_trace != nullptr) {
      *m_cell.m_trace
        << std::chrono::duration_cast<WallTime>(m_cell.Now()).count() << " "
        << aEvent << " " << aFields << "\n";
    }
  }

  void LogNotable(const std::string& aEvent,
                  const std::string& aFields) override
  {
    Log(aEvent, aFields);
  }

  void LogUnlimited(const std::string& aEvent,
                    const std::string& aFields) override
  {
    Log(aEvent, aFields);
  }

  AdvisorUse GetAdvisorUse() const override
  {
    return AdvisorUse{ m_cell.m_advisor.m_hosts, m_asking, m_asking };
  }

  MetricsSink& Metrics() override { return m_metrics; }

private:
  using Done = std::function<void()>;

  bool IsFrozen() const { return m_cell.m_now < m_frozenUntil; }

  // The orders to one target on one path. One of them is on its way at a time.
  struct Connection
  {
    OrderQueue m_queue;
    bool m_isSending = false;
    // The number of stops that wait for their answers.
    std::size_t m_stopsUnderWay = 0;
  };

  // The most stops that are on their way to one target, as StopSenders has it.
  static constexpr std::size_t kMaxStopsUnderWay = 16;

  // A leader waits this long for an answer.
  static constexpr Duration kOrderTimeout = std::chrono::milliseconds(700);
  // When orders that are carried out late arrive.
  static constexpr Duration kEarliestLate = std::chrono::seconds(2);
  static constexpr Duration kLatestLate = std::chrono::seconds(12);

  static JobSchedulerSettings SettingsOf(const JobCellModel& aCell)
  {
    JobSchedulerSettings settings;
    settings.m_valueBytes = MaxValueBytes(aCell.m_rowBytes);
    return settings;
  }

  void Write(const std::vector<RowWrite>& aWrites,
             const std::vector<RowKey>& aRemovals)
  {
    if (m_cell.m_faults.m_storeDown) {
      m_cell.At(std::chrono::milliseconds(100),
                [this, aWrites, aRemovals] { Write(aWrites, aRemovals); });
      return;
    }
    if (m_cell.m_leaderVersion != m_rowVersion) {
      m_alive = false; // another one leads
      return;
    }
    if (!m_cell.m_table.Apply(aWrites, aRemovals, m_cell.m_version + 1)) {
      m_cell.Break("COMMIT BEYOND THE STORE'S LIMITS");
      Tell(m_cell.Way(),
           [this] { m_scheduler.OnCommitRejected(m_cell.m_now); });
      return;
    }
    CheckAddressesStored(aWrites);
    for (const RowWrite& write : aWrites) {
      if (write.m_key.m_table != kProgressTable) {
        continue;
      }
      const JobId job(write.m_key.m_key);
      const auto progress = DecodeProgress(job, write.m_value);
      const bool over = progress && progress->m_state >= JobState::kDone;
      if (over) {
        m_cell.m_endedAt.try_emplace(job, m_cell.m_now);
      }
      if (progress && progress->m_state == JobState::kDone) {
        m_cell.m_doneAt.try_emplace(job, m_cell.m_now);
        m_cell.CheckShownAsDone(job);
      }
    }
    ++m_cell.m_commits;
    m_cell.m_leaderVersion = ++m_cell.m_version;
    m_rowVersion = m_cell.m_leaderVersion;
    if (EndsAfterCommit()) {
      m_cell.ChangeLeader();
      return;
    }
    Tell(m_cell.Way() + SlowCommitTime(), [this, version = m_rowVersion] {
      m_scheduler.OnCommitted(version, m_cell.Now(), m_cell.m_now);
    });
  }

  bool EndsAfterCommit()
  {
    const double share = m_cell.m_faults.m_leaderEnds;
    return share > 0 && m_cell.Chance(share);
  }

  Duration SlowCommitTime()
  {
    const Duration longest = m_cell.m_faults.m_slowCommits;
    if (longest == Duration::zero()) {
      return longest;
    }
    std::uniform_int_distribution<Duration::rep> time(0, longest.count());
    return Duration(time(m_cell.m_random));
  }

  // Checks that the store has the address of each target to which a dispatch
  // was just stored.
  void CheckAddressesStored(const std::vector<RowWrite>& aWrites)
  {
    std::vector<Row> rows;
    for (const RowWrite& write : aWrites) {
      if (write.m_key.m_table == kProgressTable) {
        Row row;
        row.m_key = write.m_key;
        row.m_value = write.m_value;
        rows.push_back(row);
      }
    }
    for (const auto& [job, progress] : ReadProgressRows(rows).m_jobs) {
      for (const StoredTask& task : progress.m_tasks) {
        const bool isMissing =
          progress.m_state < JobState::kDone &&
          task.m_task.m_state == TaskState::kDispatched &&
          m_cell.m_table.Find(TargetAddressKey(task.m_task.m_target)) ==
            nullptr;
        if (isMissing) {
          m_cell.Break("DISPATCHED WITHOUT ADDRESS " + TaskText(task.m_name));
        }
      }
    }
  }

  template<class Order>
  void QueueOrder(const Order& aOrder, HoldPath aPath)
  {
    Connection& connection = m_connections[{ aOrder.m_to.m_target, aPath }];
    connection.m_queue.Add(aOrder, m_cell.m_now);
    SendWaiting(connection, aPath);
  }

  // Sends the orders that need not wait for an answer to another one.
  void SendWaiting(Connection& aConnection, HoldPath aPath)
  {
    SendStops(aConnection, aPath);
    SendNext(aConnection, aPath);
  }

  void SendStops(Connection& aConnection, HoldPath aPath)
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

  // Sends the next order unless another one waits for its answer. Reports the
  // withdrawn ones.
  void SendNext(Connection& aConnection, HoldPath aPath)
  {
    while (!aConnection.m_isSending) {
      const auto queued = aConnection.m_queue.Take(
        Duration::zero(), OrderSelection::kAllButStops);
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

  // Sends the order, or reports it if it is withdrawn. Calls aDone when its
  // answer has come.
  void SendOrder(const QueuedOrder& aQueued, HoldPath aPath, const Done& aDone)
  {
    if (const auto* start = std::get_if<StartOrder>(&aQueued.m_order)) {
      SendStart(*start, aQueued.m_withdrawn, aDone);
    } else if (const auto* stop = std::get_if<StopOrder>(&aQueued.m_order)) {
      SendStop(*stop, aQueued.m_withdrawn, aDone);
    } else if (const auto* hold = std::get_if<HoldOrder>(&aQueued.m_order)) {
      SendHold(*hold, aPath, aDone);
    }
  }

  void SendStart(const StartOrder& aOrder, bool aWithdrawn, const Done& aDone)
  {
    const auto unanswered = m_unanswered.find(aOrder.m_to.m_target);
    const bool skipped = unanswered != m_unanswered.end() &&
                         unanswered->second >= aOrder.m_to.m_fence;
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

  void SendStop(const StopOrder& aOrder, bool aWithdrawn, const Done& aDone)
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

  // Returns true, and counts it, if the stop is lost between hosts.
  bool Vanishes(const StopOrder& aOrder)
  {
    std::uint32_t& vanished = m_cell.m_vanishedStops[aOrder.m_run];
    if (vanished >= m_cell.m_faults.m_vanishingStops) {
      return false;
    }
    ++vanished;
    return true;
  }

  void SendHold(const HoldOrder& aOrder, HoldPath aPath, const Done& aDone)
  {
    std::size_t index = 0;
    const JobTargetModel* target = TargetAt(aOrder.m_to, &index);
    const WallTime incarnation =
      target != nullptr ? target->Record().m_started : WallTime(0);
    HoldUntil(aOrder, aPath, m_cell.m_now + aOrder.m_wait, incarnation, aDone);
  }

  JobTargetModel* TargetAt(const OrderAddress& aTo, std::size_t* aIndex)
  {
    const auto found = m_cell.m_indexOf.find(aTo.m_target);
    if (found == m_cell.m_indexOf.end()) {
      return nullptr;
    }
    *aIndex = found->second;
    return m_cell.m_targets[found->second].get();
  }

  // Returns how long the target takes to answer an order for which every second
  // target takes aTime.
  Duration SlowTime(const OrderAddress& aTo, Duration aTime)
  {
    std::size_t index = 0;
    const bool isSlow = TargetAt(aTo, &index) != nullptr && index % 2 == 1;
    return isSlow ? aTime : Duration::zero();
  }

  // Carries an order there and its answer back, with the cell's faults. The
  // target answers aAnswerTime after it has carried out the order, which is no
  // answer if that is longer than kOrderTimeout.
  template<class Answer>
  void Carry(const OrderAddress& aTo,
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
    m_cell.At(m_cell.Way(), [=] {
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

  // Returns true if an order that was sent to the incarnation is carried out by
  // the process that lives now. Usually its connection ended with the process,
  // and so did what that had not carried out yet.
  template<class Answer>
  bool Reaches(const JobTargetModel& aTarget, WallTime aIncarnation) const
  {
    const bool outlives = m_cell.m_faults.m_ordersOutliveTargets &&
                          std::is_same_v<Answer, OrderAnswer>;
    return outlives || aTarget.Record().m_started == aIncarnation;
  }

  // Repeats a hold until there is an end or its wait is over.
  void HoldUntil(const HoldOrder& aOrder,
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

  JobCellModel& m_cell;
  JobScheduler m_scheduler;
  std::uint64_t m_rowVersion;
  bool m_alive = true;
  TimePoint m_frozenUntil;
  std::size_t m_asking = 0;
  IgnoredMetrics m_metrics;
  // Fence of the last start without answer, by target.
  std::map<TargetId, FencingToken> m_unanswered;
  std::map<std::pair<TargetId, HoldPath>, Connection> m_connections;
};

} // namespace lycheestep

#endif
