#include "task_queue.h"

#include <iterator>
#include <utility>

namespace lycheestep {

void TaskQueue::Add(Task aTask)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_tasks.push_back(std::move(aTask));
  }
  m_ready.notify_one();
}

std::vector<TaskQueue::Task> TaskQueue::Take(Duration aMaxWait)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  m_ready.wait_for(
    lock, aMaxWait, [this] { return m_stopped || !m_tasks.empty(); });
  std::vector<Task> tasks(std::make_move_iterator(m_tasks.begin()),
                          std::make_move_iterator(m_tasks.end()));
  m_tasks.clear();
  return tasks;
}

void TaskQueue::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
  }
  m_ready.notify_all();
}

bool TaskQueue::IsStopped() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_stopped;
}

} // namespace lycheestep
