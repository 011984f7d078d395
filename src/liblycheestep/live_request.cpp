#include "live_request.h"

#include <algorithm>
#include <utility>

namespace lycheestep {

namespace {

constexpr std::size_t kHistoryLines = 8;

bool IsOut(const LiveTask& aTask)
{
  return aTask.m_stage == TaskStage::kSent ||
         aTask.m_stage == TaskStage::kRunning;
}

} // namespace

bool LiveRequest::AnyTaskOut() const
{
  return std::any_of(m_tasks.begin(), m_tasks.end(), IsOut);
}

int LiveRequest::IdleTasks() const
{
  return static_cast<int>(
    std::count_if(m_tasks.begin(), m_tasks.end(), [](const LiveTask& aTask) {
      return aTask.m_stage == TaskStage::kIdle;
    }));
}

LiveTask* LiveRequest::FindTask(const AttemptId& aAttempt)
{
  for (LiveTask& task : m_tasks) {
    if (task.m_attempt == aAttempt) {
      return &task;
    }
  }
  return nullptr;
}

void LiveRequest::Note(std::string aLine)
{
  // The same reason over and over is one line.
  if (!m_history.empty() && m_history.back() == aLine) {
    return;
  }
  m_history.push_back(std::move(aLine));
  if (m_history.size() > kHistoryLines) {
    m_history.pop_front();
  }
}

} // namespace lycheestep
