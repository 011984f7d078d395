// The part of JobHost that tells the leader of cancellations which this host
// has acknowledged.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "boot_clock.h"
#include "job_host.h"
#include "jobs.pb.h"
#include "peer_reply.h"

namespace lycheestep {

namespace {

// The most jobs that one notice names.
constexpr std::size_t kMaxJobsInNotice = 500;

// How often the host looks which notices are due.
constexpr Duration kNoticeCheckPeriod = std::chrono::milliseconds(50);

} // namespace

void JobHost::OnCancellationStored(const JobId& aJob)
{
  m_queue.Add(
    [this, aJob] { m_cancellationNotifier.Add(aJob, BootClockNow()); });
}

void JobHost::SendCancellationNotices()
{
  const TimePoint now = BootClockNow();
  if (now < m_noticeCheckDue) {
    return;
  }
  m_noticeCheckDue = now + kNoticeCheckPeriod;
  for (const JobId& job : m_cancellationNotifier.TakeExpired(now)) {
    m_log.WriteUnlimited("cancellation-unconfirmed", "job=" + job.Text());
  }
  const std::uint64_t leader = m_leader ? m_incarnation : m_leaderIncarnation;
  if (leader == 0) {
    return; // no leader is known yet
  }
  const std::vector<JobId> due = m_cancellationNotifier.TakeDue(leader, now);
  if (m_leader) {
    for (const JobId& job : m_leader->OnCancellationNotice(due)) {
      m_cancellationNotifier.OnConfirmed(leader, job);
    }
    return;
  }
  for (std::size_t first = 0; first < due.size(); first += kMaxJobsInNotice) {
    const std::size_t end = std::min(due.size(), first + kMaxJobsInNotice);
    proto::JobPeerMessage message;
    for (std::size_t i = first; i < end; ++i) {
      message.mutable_cancellation_notice()->add_job(due[i].Text());
    }
    m_peers.Send(m_leaderAddress, std::move(message));
  }
}

void JobHost::OnCancellationNotice(const proto::JobPeerMessage& aMessage)
{
  std::vector<JobId> jobs;
  for (const std::string& job : aMessage.cancellation_notice().job()) {
    jobs.emplace_back(job);
  }
  m_queue.Add([this,
               jobs = std::move(jobs),
               address = aMessage.address(),
               sender = aMessage.incarnation()] {
    if (!m_leader) {
      return; // the sender repeats it to the next leader
    }
    const std::vector<JobId> over = m_leader->OnCancellationNotice(jobs);
    if (over.empty()) {
      return;
    }
    proto::JobPeerMessage reply = MakeReplyTo(sender);
    for (const JobId& job : over) {
      reply.mutable_cancellation_confirmation()->add_job(job.Text());
    }
    m_peers.Send(address, std::move(reply));
  });
}

void JobHost::OnCancellationConfirmation(const proto::JobPeerMessage& aMessage)
{
  std::vector<JobId> jobs;
  for (const std::string& job : aMessage.cancellation_confirmation().job()) {
    jobs.emplace_back(job);
  }
  m_queue.Add([this, jobs = std::move(jobs), leader = aMessage.incarnation()] {
    for (const JobId& job : jobs) {
      m_cancellationNotifier.OnConfirmed(leader, job);
    }
  });
}

} // namespace lycheestep
