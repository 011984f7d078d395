#ifndef LYCHEESTEP_TASK_QUEUE_H
#define LYCHEESTEP_TASK_QUEUE_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Work that other threads hand to one thread, in order.
class TaskQueue
{
public:
  using Task = std::function<void()>;

  // Never waits.
  void Add(Task aTask);

  // All tasks that have come; waits for one up to aMaxWait. Empty when none
  // came, or after Stop.
  std::vector<Task> Take(Duration aMaxWait);

  // Lets Take return at once from now on.
  void Stop();

  bool IsStopped() const;

private:
  mutable std::mutex m_mutex;
  std::condition_variable m_ready;
  std::deque<Task> m_tasks;
  bool m_stopped = false;
};

} // namespace lycheestep

#endif
