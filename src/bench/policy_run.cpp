#include "policy_run.h"

#include <algorithm>
#include <string>

namespace lycheestep::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

// Time that a task takes to save its state and stop.
constexpr Duration kCheckpointTime = seconds(1);
// Time between calls to Victims.
constexpr Duration kPreemptionPeriod = milliseconds(100);
// Part of the flood that passes before its use of the fleet is measured.
constexpr int kRampDivisor = 4;

// The grant of one host that has the whole fleet for the whole run.
Grant WholeGrant(const Resources& aCapacity)
{
  Grant grant;
  grant.m_main = aCapacity;
  grant.m_mainUntil = TimePoint::max();
  return grant;
}

std::string TeamGroup(const TeamName& aTeam)
{
  return "team " + aTeam.Text();
}

} // namespace

double GroupShare::Kept(double aSeconds) const
{
  const double floor = m_floor * aSeconds;
  const double due = std::min(m_asked, floor);
  if (due <= 0.0) {
    return 1.0;
  }
  return std::min(1.0, std::max(m_got / due, m_held / floor));
}

PolicyRun::PolicyRun(const Workload& aWorkload, BenchPolicy& aPolicy)
  : m_workload(aWorkload)
  , m_policy(aPolicy)
  , m_start(seconds(1))
  , m_now(m_start)
  , m_floodStart(m_start + aWorkload.m_floodStart)
  , m_floodEnd(m_start + aWorkload.m_floodEnd)
{
  m_fleet.Replace(aWorkload.m_targets);
  for (const TargetListing& target : aWorkload.m_targets) {
    m_fleet.Find(target.m_id)->m_grant = WholeGrant(target.m_capacity);
  }
  m_capacity = m_fleet.TotalCapacity();
  SetUpGroups();
}

PolicyResult PolicyRun::Run()
{
  m_jobs.resize(m_workload.m_arrivals.size());
  const TimePoint end = m_floodEnd + seconds(15);
  std::size_t next = 0;
  while (true) {
    const bool arrival = next < m_jobs.size();
    const TimePoint arrives =
      arrival ? m_start + m_workload.m_arrivals[next].m_at : TimePoint::max();
    const TimePoint ends =
      m_ends.empty() ? TimePoint::max() : m_ends.top().m_at;
    const TimePoint at = std::min(arrives, ends);
    if (at > end) {
      break;
    }
    AddUse(at);
    m_now = at;
    m_policy.Expire(m_now);
    if (ends <= arrives) {
      const End done = m_ends.top();
      m_ends.pop();
      Finish(done);
    } else {
      Arrive(next++);
    }
    DecideAll();
    Preempt();
    m_result.m_mostWaiting =
      std::max(m_result.m_mostWaiting, m_policy.Waiting());
  }
  Measure();
  return m_result;
}

const WorkKind& PolicyRun::KindOf(std::size_t aJob) const
{
  return m_workload.m_catalogue->m_kinds[m_workload.m_arrivals[aJob].m_kind];
}

void PolicyRun::Arrive(std::size_t aJob)
{
  const WorkKind& kind = KindOf(aJob);
  Job& job = m_jobs[aJob];
  job.m_left = m_workload.m_arrivals[aJob].m_runTime;
  job.m_work.m_id = RequestId(std::to_string(aJob));
  job.m_work.m_kind = kind.m_name;
  job.m_work.m_tasks = kind.m_tasks;
  job.m_work.m_arrived = m_now;
  job.m_work.m_deadline = m_now + kind.m_deadline;
  if (m_policy.Offer(job.m_work, m_now)) {
    m_jobIndex.emplace(job.m_work.m_id, aJob);
  }
}

void PolicyRun::Finish(const End& aEnd)
{
  Job& job = m_jobs[aEnd.m_job];
  if (!job.m_running || job.m_run != aEnd.m_run) {
    return;
  }
  const Resources& demand = KindOf(aEnd.m_job).m_demand;
  for (const TargetId& target : job.m_targets) {
    m_fleet.GiveBack(target, demand);
    m_used -= demand;
  }
  job.m_running = false;
  Hold(job, KindOf(aEnd.m_job));
  m_policy.Ended(job.m_work);
  if (job.m_stopping) {
    job.m_stopping = false;
    job.m_left -= m_now - job.m_started;
    job.m_work.m_resume = true;
    m_policy.Offer(job.m_work, m_now);
  }
}

void PolicyRun::DecideAll()
{
  while (auto start = m_policy.Decide(m_fleet, m_now)) {
    Start(std::move(*start));
  }
}

void PolicyRun::Start(BenchStart aStart)
{
  const std::size_t index = m_jobIndex.at(aStart.m_work.m_id);
  Job& job = m_jobs[index];
  const WorkKind& kind = KindOf(index);
  for (const TargetId& target : aStart.m_targets) {
    m_fleet.Take(target, kind.m_demand);
    m_used += kind.m_demand;
    if (m_fleet.Find(target)->FreeAt(m_now).AnyNegative()) {
      m_result.m_overcommitted = true;
    }
  }
  job.m_targets = std::move(aStart.m_targets);
  job.m_started = m_now;
  job.m_running = true;
  ++job.m_run;
  m_ends.push({ m_now + job.m_left, index, job.m_run });
  if (kind.m_checkpointable && kind.m_tasks == 1) {
    m_checkpointable.push_back(index);
  }
  if (job.m_everStarted) {
    return;
  }
  job.m_everStarted = true;
  ++m_result.m_started;
  const Arrival& arrival = m_workload.m_arrivals[index];
  if (arrival.m_flood) {
    return;
  }
  const double waited = Seconds(m_now - job.m_work.m_arrived).count();
  m_result.m_waits[static_cast<std::size_t>(kind.m_class)].push_back(waited);
  if (kind.m_class == WorkClass::kUrgent) {
    const auto second = static_cast<std::size_t>(arrival.m_at / seconds(1));
    m_result.m_waitSeries.resize(
      std::max(m_result.m_waitSeries.size(), second + 1));
    m_result.m_waitSeries[second] =
      std::max(m_result.m_waitSeries[second], waited);
  }
}

void PolicyRun::Preempt()
{
  if (m_now < m_nextPreemption || !m_policy.WantsVictims()) {
    return;
  }
  m_nextPreemption = m_now + kPreemptionPeriod;
  std::vector<BenchRunning> running;
  std::vector<std::size_t> stillRunning;
  for (const std::size_t index : m_checkpointable) {
    const Job& job = m_jobs[index];
    if (job.m_running && !job.m_stopping) {
      stillRunning.push_back(index);
      running.push_back({ job.m_work.m_id,
                          job.m_work.m_kind,
                          job.m_targets.front(),
                          job.m_started });
    }
  }
  m_checkpointable = std::move(stillRunning);
  for (const RequestId& victim : m_policy.Victims(m_fleet, running, m_now)) {
    const std::size_t index = m_jobIndex.at(victim);
    Job& job = m_jobs[index];
    if (job.m_left <= m_now - job.m_started + kCheckpointTime) {
      continue;
    }
    job.m_stopping = true;
    ++job.m_run;
    ++m_result.m_preempted;
    m_ends.push({ m_now + kCheckpointTime, index, job.m_run });
  }
}

void PolicyRun::AddUse(TimePoint aUntil)
{
  const TimePoint from =
    std::max(m_now, m_floodStart + (m_floodEnd - m_floodStart) / kRampDivisor);
  const TimePoint until = std::min(aUntil, m_floodEnd);
  if (until <= from || m_policy.Waiting() == 0) {
    return;
  }
  const double passed = Seconds(until - from).count();
  m_measuredSeconds += passed;
  m_result.m_peak = std::max(m_result.m_peak, m_used.DominantShare(m_capacity));
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    if (m_capacity.Get(kind) > 0) {
      m_useSeconds[i] += passed * static_cast<double>(m_used.Get(kind)) /
                         static_cast<double>(m_capacity.Get(kind));
    }
  }
}

void PolicyRun::SetUpGroups()
{
  const Catalogue& catalogue = *m_workload.m_catalogue;
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    m_groups[ToString(static_cast<WorkClass>(i))].m_floor =
      catalogue.m_classFloors[i];
  }
  for (const Team& team : catalogue.m_teams) {
    m_groups[TeamGroup(team.m_name)].m_floor = team.m_floor;
  }
  for (const std::size_t kind : m_workload.m_flooding) {
    m_groups[ToString(catalogue.m_kinds[kind].m_class)].m_flooding = true;
    m_groups[TeamGroup(catalogue.m_kinds[kind].m_team)].m_flooding = true;
  }
}

void PolicyRun::Hold(const Job& aJob, const WorkKind& aKind)
{
  const TimePoint from = std::max(aJob.m_started, m_floodStart);
  const TimePoint until = std::min(m_now, m_floodEnd);
  if (until <= from) {
    return;
  }
  const double held = ShareOf(aKind) * Seconds(until - from).count();
  m_groups[ToString(aKind.m_class)].m_held += held;
  m_groups[TeamGroup(aKind.m_team)].m_held += held;
}

double PolicyRun::ShareOf(const WorkKind& aKind) const
{
  return aKind.m_demand.Scaled(aKind.m_tasks, 1).DominantShare(m_capacity);
}

void PolicyRun::Measure()
{
  for (auto& waits : m_result.m_waits) {
    std::sort(waits.begin(), waits.end());
  }
  if (m_measuredSeconds > 0.0) {
    m_result.m_useful =
      *std::max_element(m_useSeconds.begin(), m_useSeconds.end()) /
      m_measuredSeconds;
  }
  for (std::size_t i = 0; i < m_jobs.size(); ++i) {
    if (m_jobs[i].m_running) {
      Hold(m_jobs[i], KindOf(i));
    }
    m_result.m_notStarted += m_jobs[i].m_everStarted ? 0 : 1;
    CountServed(i);
  }
  const double length = Seconds(m_floodEnd - m_floodStart).count();
  for (const auto& group : m_groups) {
    if (!group.second.m_flooding) {
      m_result.m_kept = std::min(m_result.m_kept, group.second.Kept(length));
    }
  }
  for (const auto& second : m_bySecond) {
    double kept = 1.0;
    for (const auto& group : second.second) {
      GroupShare share = group.second;
      share.m_floor = m_groups[group.first].m_floor;
      kept = m_groups[group.first].m_flooding ? kept
                                              : std::min(kept, share.Kept(1.0));
    }
    m_result.m_keptSeries.resize(second.first + 1, 1.0);
    m_result.m_keptSeries[second.first] = kept;
  }
}

void PolicyRun::CountServed(std::size_t aJob)
{
  const Arrival& arrival = m_workload.m_arrivals[aJob];
  const WorkKind& kind = KindOf(aJob);
  const Duration lasted =
    std::min<Duration>(arrival.m_runTime, m_floodEnd - m_floodStart);
  const double work = ShareOf(kind) * Seconds(lasted).count();
  const double got = m_jobs[aJob].m_everStarted ? work : 0.0;
  const bool inFlood = arrival.m_at >= m_workload.m_floodStart &&
                       arrival.m_at < m_workload.m_floodEnd;
  const auto second = static_cast<std::size_t>(arrival.m_at / seconds(1));
  for (const std::string& name :
       { std::string(ToString(kind.m_class)), TeamGroup(kind.m_team) }) {
    m_bySecond[second][name].m_asked += work;
    m_bySecond[second][name].m_got += got;
    if (inFlood) {
      m_groups[name].m_asked += work;
      m_groups[name].m_got += got;
    }
  }
}

} // namespace lycheestep::bench
