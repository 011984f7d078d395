#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "admission_queue.h"
#include "placer.h"
#include "preemption.h"

namespace lycheestep {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Resources kCapacity(8000, 16384, 0, 8, 64);
constexpr std::size_t kTargets = 6;

// Three classes, two teams, a gang and a promised batch kind.
Catalogue MakeCatalogue()
{
  Catalogue catalogue;
  catalogue.m_teams = { { TeamName("a"), 1.0, 0.1 },
                        { TeamName("b"), 0.9, 0.1 } };
  const auto add = [&](const char* aName,
                       WorkClass aClass,
                       const char* aTeam,
                       std::int64_t aMilliCores,
                       int aTasks) {
    WorkKind kind;
    kind.m_name = KindName(aName);
    kind.m_class = aClass;
    kind.m_team = TeamName(aTeam);
    kind.m_form = aTasks > 1 ? WorkForm::kGang : WorkForm::kRequest;
    kind.m_tasks = aTasks;
    kind.m_demand = Resources(aMilliCores, 1024, 0, 1, 1);
    kind.m_checkpointable = aClass == WorkClass::kBatch;
    kind.m_deadline = std::chrono::hours(1);
    catalogue.m_kinds.push_back(kind);
  };
  add("urgent", WorkClass::kUrgent, "a", 1000, 1);
  add("standard", WorkClass::kStandard, "b", 2000, 1);
  add("batch", WorkClass::kBatch, "a", 3000, 1);
  add("promised", WorkClass::kBatch, "b", 3000, 1);
  add("gang", WorkClass::kBatch, "b", 2000, 6);
  catalogue.m_customers = {
    { CustomerName("cafe"), true, "", { KindName("promised") } }
  };
  return catalogue;
}

// Drives the queue, the placer and a fleet with any sequence of events.
class PolicyModel
{
public:
  PolicyModel()
    : m_catalogue(std::make_shared<Catalogue>(MakeCatalogue()))
  {
    std::vector<TargetListing> listings(kTargets);
    for (std::size_t i = 0; i < kTargets; ++i) {
      listings[i].m_id = TargetId("t" + std::to_string(i));
      listings[i].m_rack = RackName("r" + std::to_string(i / 2));
      listings[i].m_capacity = kCapacity;
    }
    m_fleet.Replace(listings);
    for (const TargetListing& listing : listings) {
      Grant& grant = m_fleet.Find(listing.m_id)->m_grant;
      grant.m_main = kCapacity;
      grant.m_mainUntil = TimePoint::max();
    }
    m_queue.SetCatalogue(m_catalogue);
    m_queue.SetCellCapacity(m_fleet.TotalCapacity());
  }

  const WorkKind& Kind(std::size_t aKind) const
  {
    return m_catalogue->m_kinds[aKind];
  }

  void Offer(std::size_t aKind)
  {
    WaitingWork work;
    work.m_id = RequestId(std::to_string(m_next++));
    work.m_kind = Kind(aKind).m_name;
    work.m_tasks = Kind(aKind).m_tasks;
    work.m_arrived = m_now;
    work.m_deadline = m_now + Kind(aKind).m_deadline;
    m_queue.Offer(work, m_now);
  }

  // Starts all that may start.
  void StartAll()
  {
    while (auto work = m_queue.Next(m_now)) {
      const WorkKind& kind = *m_catalogue->FindKind(work->m_kind);
      const std::vector<TargetId> targets = Place(kind, *work);
      if (targets.empty()) {
        m_queue.PutBack(*work, "no place", m_now);
        continue;
      }
      RC_ASSERT(targets.size() == static_cast<std::size_t>(work->m_tasks));
      for (const TargetId& target : targets) {
        m_fleet.Take(target, kind.m_demand);
        RC_ASSERT(!m_fleet.Find(target)->FreeAt(m_now).AnyNegative());
      }
      m_queue.Started(kind.m_name, kind.m_demand, work->m_tasks, m_now);
      m_running.push_back({ &kind, targets, m_now });
    }
  }

  void EndOldest()
  {
    if (m_running.empty()) {
      return;
    }
    const Run run = m_running.front();
    m_running.erase(m_running.begin());
    for (const TargetId& target : run.m_targets) {
      m_fleet.GiveBack(target, run.m_kind->m_demand);
    }
    m_queue.Ended(run.m_kind->m_name,
                  run.m_kind->m_demand,
                  static_cast<int>(run.m_targets.size()));
  }

  std::vector<RunningTask> Running() const
  {
    std::vector<RunningTask> tasks;
    for (const Run& run : m_running) {
      for (const TargetId& target : run.m_targets) {
        RunningTask task;
        task.m_kind = run.m_kind->m_name;
        task.m_target = target;
        task.m_demand = run.m_kind->m_demand;
        task.m_started = run.m_started;
        tasks.push_back(task);
      }
    }
    return tasks;
  }

  double ShareOf(WorkClass aClass) const
  {
    return m_queue.RunningOf(aClass).DominantShare(m_fleet.TotalCapacity());
  }

  std::shared_ptr<const Catalogue> m_catalogue;
  Fleet m_fleet;
  AdmissionQueue m_queue{ 500 };
  Placer m_placer{ 16 };
  RandomGenerator m_random{ 3 };
  TimePoint m_now{ seconds(100) };
  std::size_t m_next = 0;

private:
  struct Run
  {
    const WorkKind* m_kind = nullptr;
    std::vector<TargetId> m_targets;
    TimePoint m_started;
  };

  std::vector<TargetId> Place(const WorkKind& aKind, const WaitingWork& aWork)
  {
    if (aWork.m_tasks > 1) {
      return m_placer.ChooseGang(m_fleet,
                                 aKind,
                                 aKind.m_demand,
                                 aWork.m_tasks,
                                 m_catalogue->m_weights,
                                 m_now,
                                 m_random);
    }
    const Placement placement = m_placer.Choose(
      m_fleet, aKind, aKind.m_demand, m_catalogue->m_weights, m_now, m_random);
    return placement.Found() ? std::vector<TargetId>{ placement.m_target }
                             : std::vector<TargetId>();
  }

  std::vector<Run> m_running;
};

// Any mixture of arrivals and ends, as numbers: a kind to offer, or an end.
rc::Gen<std::vector<int>> AnyEvents()
{
  return rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
}

void Apply(PolicyModel& aModel, int aEvent)
{
  aModel.m_now += milliseconds(50);
  if (aEvent < 5) {
    for (int i = 0; i < 10; ++i) {
      aModel.Offer(static_cast<std::size_t>(aEvent));
    }
  } else {
    aModel.EndOldest();
  }
  aModel.StartAll();
}

RC_GTEST_PROP(PolicyProperty, NoOverCommitGangsWholeMemoryBounded, ())
{
  const auto events = *AnyEvents();
  PolicyModel model;
  for (const int event : events) {
    Apply(model, event);
    RC_ASSERT(model.m_queue.Waiting() <= 500U);
    RC_ASSERT(model.m_queue.Running(KindName("gang")) % 6 == 0);
  }
}

RC_GTEST_PROP(PolicyProperty, PromisedWorkIsNeverAVictim, ())
{
  const auto events = *AnyEvents();
  PolicyModel model;
  const Preemption preemption(*model.m_catalogue, model.m_queue);
  for (const int event : events) {
    Apply(model, event);
    for (const RunningTask& victim :
         preemption.ChooseVictims(model.m_fleet,
                                  model.Running(),
                                  model.Kind(0).m_demand,
                                  WorkClass::kUrgent,
                                  model.m_now)) {
      RC_ASSERT(victim.m_kind == KindName("batch"));
    }
  }
}

// Whatever ran before, once every kind has work waiting and tasks go on
// ending, each class comes up to its floor or the whole of its work runs.
RC_GTEST_PROP(PolicyProperty, FloorsAreReachedAndNoKindStarves, ())
{
  const auto events = *AnyEvents();
  PolicyModel model;
  for (const int event : events) {
    Apply(model, event);
  }
  std::map<std::size_t, bool> started;
  for (int round = 0; round < 1200; ++round) {
    model.m_now += milliseconds(100);
    for (std::size_t kind = 0; kind < 5; ++kind) {
      if (model.m_queue.Waiting(model.Kind(kind).m_name) < 5) {
        model.Offer(kind);
      }
      started[kind] =
        started[kind] || model.m_queue.Running(model.Kind(kind).m_name) > 0;
    }
    model.EndOldest();
    model.StartAll();
  }
  for (std::size_t kind = 0; kind < 5; ++kind) {
    RC_ASSERT(started[kind]);
  }
  // One task of a class may be too large for the rest of its floor.
  constexpr double kOneTask = 0.07;
  RC_ASSERT(model.ShareOf(WorkClass::kUrgent) >= 0.3 - kOneTask);
  RC_ASSERT(model.ShareOf(WorkClass::kStandard) >= 0.2 - kOneTask);
  RC_ASSERT(model.ShareOf(WorkClass::kBatch) >= 0.1 - kOneTask);
}

TEST(PolicyCancellation, AWaveOfTenThousandLooksAtNothingElse)
{
  AdmissionQueue queue(30000);
  auto catalogue = std::make_shared<Catalogue>(MakeCatalogue());
  catalogue->m_kinds[0].m_queueLimit = 20000;
  queue.SetCatalogue(catalogue);
  queue.SetCellCapacity(kCapacity);
  WaitingWork work;
  work.m_kind = KindName("urgent");
  for (int i = 0; i < 10000; ++i) {
    work.m_id = RequestId(std::to_string(i));
    ASSERT_TRUE(queue.Offer(work, TimePoint()).m_accepted);
  }
  const std::uint64_t before = queue.Comparisons();
  for (int i = 0; i < 10000; ++i) {
    EXPECT_TRUE(queue.Remove(RequestId(std::to_string(i))));
    EXPECT_FALSE(queue.Remove(RequestId(std::to_string(i))));
  }
  EXPECT_EQ(queue.Waiting(), 0U);
  EXPECT_EQ(queue.Comparisons(), before);
}

} // namespace
} // namespace lycheestep
