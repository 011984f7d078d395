#ifndef LYCHEESTEP_JOB_CELL_TERM_H
#define LYCHEESTEP_JOB_CELL_TERM_H

#include <algorithm>
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

  void Freeze(TimePoint aUntil)
  {
    m_frozenUntil = std::max(m_frozenUntil, aUntil);
  }

  // Lets the scheduler work once, unless this leader stands still.
  void Step();

  // Tells the scheduler what time it is.
  void SetTime();

  // Tells the scheduler something after a way, if it still lives then.
  void Tell(Duration aDelay, std::function<void()> aTask);

  // Tells the scheduler of a row after a way, or when it has loaded if that is
  // later.
  void TellRow(Duration aDelay, std::function<void()> aTask);

  // Returns false while this leader may not know of cancellations that were
  // acknowledged some time ago. Only cells that check for calm heed it.
  bool MayStart() const;

  // Lets the scheduler work, and tells it of the rows that came meanwhile.
  void NoteLoaded();

  void Commit(std::vector<RowWrite> aWrites,
              std::vector<RowKey> aRemovals) override;

  void Start(const StartOrder& aOrder) override;

  void Stop(const StopOrder& aOrder) override;

  void Pace(const PaceOrder& /*aOrder*/) override {}

  void Hold(const HoldOrder& aOrder, HoldPath aPath) override;

  void Withdraw(const WithdrawOrder& aOrder) override;

  void Forget(const TargetId& /*aTarget*/) override {}

  bool CanAsk() const override { return m_asking < m_cell.m_advisor.m_hosts; }

  void Ask(const AdviceRequest& aRequest, Duration aTurn) override;

  void Log(const std::string& aEvent, const std::string& aFields) override;

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

  // No start leaves a leader that has not heard of cancellations for longer.
  static constexpr Duration kMaxCancelAge = std::chrono::milliseconds(2700);
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

  // Writes the rows of a commit, unless another leader has written since.
  void Write(const std::vector<RowWrite>& aWrites,
             const std::vector<RowKey>& aRemovals);

  // Notes the jobs that callers are shown as over from now on.
  void NoteEndedJobs(const std::vector<RowWrite>& aWrites);

  // Draws whether this leader ends now, and how late it hears of its commit.
  bool EndsAfterCommit();
  Duration SlowCommitTime();

  // Checks that the store has the address of each target to which a dispatch
  // was just stored.
  void CheckAddressesStored(const std::vector<RowWrite>& aWrites);

  // Queues an order for its target, and sends it if nothing is before it.
  template<class Order>
  void QueueOrder(const Order& aOrder, HoldPath aPath);

  // Sends the orders that need not wait for an answer to another one.
  void SendWaiting(Connection& aConnection, HoldPath aPath);

  void SendStops(Connection& aConnection, HoldPath aPath);

  // Sends the next order unless another one waits for its answer. Reports the
  // withdrawn ones.
  void SendNext(Connection& aConnection, HoldPath aPath);

  // Sends the order, or reports it if it is withdrawn. Calls aDone when its
  // answer has come.
  void SendOrder(const QueuedOrder& aQueued, HoldPath aPath, const Done& aDone);

  void SendStart(const StartOrder& aOrder, bool aWithdrawn, const Done& aDone);

  void SendStop(const StopOrder& aOrder, bool aWithdrawn, const Done& aDone);

  // Returns true, and counts it, if the stop is lost between hosts.
  bool Vanishes(const StopOrder& aOrder);

  void SendHold(const HoldOrder& aOrder, HoldPath aPath, const Done& aDone);

  JobTargetModel* TargetAt(const OrderAddress& aTo, std::size_t* aIndex);

  // Returns how long the target takes to answer an order for which every second
  // target takes aTime.
  Duration SlowTime(const OrderAddress& aTo, Duration aTime);

  // Carries an order there and its answer back, with the cell's faults. The
  // target answers aAnswerTime after it has carried out the order, which is no
  // answer if that is longer than kOrderTimeout.
  template<class Answer>
  void Carry(const OrderAddress& aTo,
             std::function<Answer(JobTargetModel&)> aOrder,
             Duration aAnswerTime,
             std::function<void(const Answer&)> aAnswered);

  // Returns true if an order that was sent to the incarnation is carried out by
  // the process that lives now. Usually its connection ended with the process,
  // and so did what that had not carried out yet.
  template<class Answer>
  bool Reaches(const JobTargetModel& aTarget, WallTime aIncarnation) const;

  // Repeats a hold until there is an end or its wait is over.
  void HoldUntil(const HoldOrder& aOrder,
                 HoldPath aPath,
                 TimePoint aUntil,
                 WallTime aIncarnation,
                 const Done& aDone);

  JobCellModel& m_cell;
  JobScheduler m_scheduler;
  std::uint64_t m_rowVersion;
  bool m_alive = true;
  bool m_isLoaded = false;
  // When this leader last knew all cancellations.
  TimePoint m_cancelsAsOf;
  // The rows that came before the scheduler had loaded.
  std::vector<std::function<void()>> m_earlyRows;
  TimePoint m_frozenUntil;
  std::size_t m_asking = 0;
  IgnoredMetrics m_metrics;
  // Fence of the last start without answer, by target.
  std::map<TargetId, FencingToken> m_unanswered;
  std::map<std::pair<TargetId, HoldPath>, Connection> m_connections;
};

} // namespace lycheestep

#endif
