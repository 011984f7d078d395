#ifndef LYCHEESTEP_TIMELINE_H
#define LYCHEESTEP_TIMELINE_H

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Virtual time and what is to happen on it. Things of the same time happen in
// the order in which they were added.
class Timeline
{
public:
  explicit Timeline(TimePoint aStart)
    : m_now(aStart)
  {
  }

  TimePoint Now() const { return m_now; }

  // Does aWhat at aWhen, or now if that has passed.
  void At(TimePoint aWhen, std::function<void()> aWhat)
  {
    const TimePoint when = aWhen < m_now ? m_now : aWhen;
    m_waiting.emplace(std::make_pair(when, m_next++), std::move(aWhat));
  }

  // Does aWhat after aDelay.
  void After(Duration aDelay, std::function<void()> aWhat)
  {
    At(m_now + aDelay, std::move(aWhat));
  }

  // Does all that is due by aEnd; the time is aEnd afterwards.
  void RunUntil(TimePoint aEnd)
  {
    while (!m_waiting.empty() && m_waiting.begin()->first.first <= aEnd) {
      m_now = m_waiting.begin()->first.first;
      const std::function<void()> what = std::move(m_waiting.begin()->second);
      m_waiting.erase(m_waiting.begin());
      what();
    }
    m_now = aEnd;
  }

private:
  TimePoint m_now;
  std::uint64_t m_next = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>>
    m_waiting;
};

} // namespace lycheestep

#endif
