#ifndef LYCHEESTEP_WORKER_POOL_H
#define LYCHEESTEP_WORKER_POOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lycheestep {

// Named POSIX threads that run jobs in the order in which they came. Threads
// are made as jobs need them, up to a limit.
class WorkerPool
{
public:
  // aName has at most 15 bytes, as the kernel of the machine allows.
  WorkerPool(std::string aName, std::size_t aThreadLimit);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Queues a job and returns at once. False after Stop.
  bool Run(std::function<void()> aJob);

  // Drops waiting jobs, and waits for the running ones.
  void Stop();

  // Takes no new jobs, and waits until all that were taken have run.
  void Finish();

private:
  void JoinThreads();
  void Work();

  const std::string m_name;
  const std::size_t m_threadLimit;
  std::mutex m_mutex;
  std::condition_variable m_jobReady;
  std::deque<std::function<void()>> m_jobs;
  std::vector<std::thread> m_threads;
  std::size_t m_idle = 0;
  bool m_stopped = false;
};

} // namespace lycheestep

#endif
