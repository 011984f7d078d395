#include "local_targets.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "lycheestep/event_sink.h"
#include "lycheestep/kernel.h"

namespace lycheestep {

namespace {

constexpr Duration kUsageLag = std::chrono::seconds(2);
// The thread looks again after this long at the latest.
constexpr Duration kLongestSleep = std::chrono::seconds(1);

} // namespace

LocalTargets::LocalTargets(const std::vector<TargetListing>& aListings,
                           Work aWork)
  : m_work(std::move(aWork))
{
  for (const TargetListing& listing : aListings) {
    m_targets.try_emplace(listing.m_id, listing, kUsageLag, m_checkpoints);
  }
}

LocalTargets::~LocalTargets()
{
  Stop();
}

std::error_code LocalTargets::Start(Kernel& aKernel)
{
  m_events = aKernel.Find<EventSink>("control");
  m_thread = std::thread([this] { Run(); });
  pthread_setname_np(m_thread.native_handle(), "targets");
  return {};
}

void LocalTargets::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void LocalTargets::StartOn(StartTask aCall)
{
  Add([this, call = std::move(aCall)](TimePoint aNow) { DoStart(call, aNow); });
}

void LocalTargets::Renew(RenewLeases aCall)
{
  Add([this, call = std::move(aCall)](TimePoint aNow) { DoRenew(call, aNow); });
}

void LocalTargets::Control(ControlTask aCall)
{
  Add([this, call = std::move(aCall)](TimePoint aNow) {
    const auto found = m_targets.find(call.m_target);
    if (found != m_targets.end()) {
      found->second.Control(call.m_attempt, call.m_control, aNow);
    }
  });
}

void LocalTargets::Query(QueryAttempt aCall)
{
  Add([this, call = std::move(aCall)](TimePoint aNow) { DoQuery(call, aNow); });
}

void LocalTargets::Add(Job aJob)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_jobs.push_back(std::move(aJob));
  }
  m_changed.notify_all();
}

void LocalTargets::Run()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping) {
    const std::vector<Job> jobs = std::exchange(m_jobs, {});
    lock.unlock();
    for (const Job& job : jobs) {
      job(Clock::now());
    }
    PostEnds(Clock::now());
    const TimePoint until = std::min(NextEnd(), Clock::now() + kLongestSleep);
    lock.lock();
    m_changed.wait_until(
      lock, until, [this] { return m_stopping || !m_jobs.empty(); });
  }
}

void LocalTargets::DoStart(const StartTask& aCall, TimePoint aNow)
{
  StartAnswered answer;
  answer.m_target = aCall.m_target;
  answer.m_attempt = aCall.m_start.m_attempt;
  const auto found = m_targets.find(aCall.m_target);
  if (found == m_targets.end() || aNow >= aCall.m_notAfter) {
    answer.m_status = StartStatus::kNotSent;
    m_events->Post(std::move(answer));
    return;
  }
  const StartReply reply =
    found->second.Start(aCall.m_start, m_work(aCall.m_start), aNow);
  answer.m_status = reply.m_status;
  answer.m_detail = reply.m_detail;
  answer.m_leaving = reply.m_leaving;
  if (reply.m_status == StartStatus::kStarted && aCall.m_start.m_waitForEnd) {
    m_waitedFor.insert(aCall.m_start.m_attempt);
  }
  m_events->Post(std::move(answer));
}

void LocalTargets::DoRenew(const RenewLeases& aCall, TimePoint aNow)
{
  TargetReport report;
  const auto found = m_targets.find(aCall.m_target);
  if (found != m_targets.end() && aNow < aCall.m_notAfter) {
    report = found->second.Renew(aCall.m_renewal, aNow);
  }
  report.m_target = aCall.m_target;
  m_events->Post(TargetReported{ std::move(report) });
}

void LocalTargets::DoQuery(const QueryAttempt& aCall, TimePoint aNow)
{
  AttemptAnswered answer;
  answer.m_target = aCall.m_target;
  const auto found = m_targets.find(aCall.m_target);
  if (found != m_targets.end()) {
    answer.m_reached = true;
    answer.m_report = found->second.Query(aCall.m_attempt, aNow);
  }
  answer.m_report.m_attempt = aCall.m_attempt;
  m_events->Post(std::move(answer));
}

void LocalTargets::PostEnds(TimePoint aNow)
{
  for (auto& [id, target] : m_targets) {
    for (TaskReport& report : target.Advance(aNow)) {
      if (m_waitedFor.erase(report.m_attempt) == 0) {
        continue;
      }
      TaskEnded ended;
      ended.m_target = id;
      ended.m_latency = report.m_ranFor;
      ended.m_report = std::move(report);
      m_events->Post(std::move(ended));
    }
  }
}

TimePoint LocalTargets::NextEnd() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [id, target] : m_targets) {
    next = std::min(next, target.NextEnd());
  }
  return next;
}

} // namespace lycheestep
