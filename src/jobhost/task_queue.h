#ifndef LYCHEESTEP_TASK_QUEUE_H
#define LYCHEESTEP_TASK_QUEUE_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

#include "lycheestep/time_types.h"

namespace lycheestep {

// A thread-safe FIFO queue of functions that several threads add and one thread
// takes and runs. Its tasks are not the tasks of jobs.
class TaskQueue
{
public:
  using Task = std::function<void()>;

  // Appends a task, and does not wait for it to run.
  void Add(Task aTask);

  // Removes and returns all queued tasks. If none is queued, waits up to
  // aMaxWait for one, or until Stop; the result may then be empty.
  std::vector<Task> Take(Duration aMaxWait);

  // Makes the current and all later calls of Take return without waiting.
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
