#include "run_stop.h"

#include <chrono>

namespace lycheestep {

namespace {

// An order that failed is sent again after this time.
constexpr Duration kRetryInterval = std::chrono::milliseconds(400);

// An order without any report counts as lost after this time. It is longer than
// the timeout of an order, and two losses leave time for a third order: a run
// has to end 3.9 s after the cancellation of its job.
constexpr Duration kReportTimeout = std::chrono::milliseconds(1200);

// Another host sends its next order after this time.
constexpr Duration kOtherHostInterval = std::chrono::milliseconds(800);

// A run whose target took the order ends within 0.9 s. If it is not listed as
// ended after this time, the order is sent again.
constexpr Duration kEndTimeout = std::chrono::seconds(2);

} // namespace

bool RunStop::IsUnderWay(TimePoint aNow) const
{
  return m_sentCount > 0 && !m_answer && aNow - m_sentAt < kReportTimeout;
}

bool RunStop::IsDue(TimePoint aNow) const
{
  if (!m_isRequested || IsUnderWay(aNow)) {
    return false;
  }
  if (!m_answer) {
    return true; // none was sent yet, or the last one is lost
  }
  const bool wasTaken = *m_answer == OrderStatus::kDone;
  return aNow - m_answeredAt >= (wasTaken ? kEndTimeout : kRetryInterval);
}

bool RunStop::IsDueByAnotherHost(bool aIsConnected, TimePoint aNow) const
{
  const bool isDone = m_answer == OrderStatus::kDone;
  const bool mayBeOutOfReach = m_hasFailed || !aIsConnected;
  if (!m_isRequested || isDone || !mayBeOutOfReach) {
    return false;
  }
  return m_otherHostCount == 0 || aNow - m_otherHostAt >= kOtherHostInterval;
}

void RunStop::NoteSent(TimePoint aNow)
{
  m_hasFailed = m_hasFailed || (m_sentCount > 0 && !m_answer);
  m_sentAt = aNow;
  m_answer.reset();
  ++m_sentCount;
}

void RunStop::NoteSentByAnotherHost(TimePoint aNow)
{
  m_otherHostAt = aNow;
  ++m_otherHostCount;
}

void RunStop::NoteAnswer(OrderRoute aRoute, OrderStatus aStatus, TimePoint aNow)
{
  const bool isDone = aStatus == OrderStatus::kDone;
  const bool isUsual = aRoute == OrderRoute::kUsual;
  if (isUsual) {
    m_hasFailed = aStatus == OrderStatus::kUnknown ||
                  aStatus == OrderStatus::kNotSent || (m_hasFailed && !isDone);
  }
  const bool counts = isDone || (isUsual && m_answer != OrderStatus::kDone);
  if (counts) {
    m_answer = aStatus;
    m_answeredAt = aNow;
  }
}

} // namespace lycheestep
