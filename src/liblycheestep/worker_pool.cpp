#include "worker_pool.h"

#include <pthread.h>

#include <utility>

namespace lycheestep {

WorkerPool::WorkerPool(std::string aName, std::size_t aThreadLimit)
  : m_name(std::move(aName))
  , m_threadLimit(aThreadLimit)
{
}

WorkerPool::~WorkerPool()
{
  Stop();
}

bool WorkerPool::Run(std::function<void()> aJob)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_stopped) {
    return false;
  }
  m_jobs.push_back(std::move(aJob));
  if (m_jobs.size() > m_idle && m_threads.size() < m_threadLimit) {
    m_threads.emplace_back([this] { Work(); });
    pthread_setname_np(m_threads.back().native_handle(), m_name.c_str());
  }
  m_jobReady.notify_one();
  return true;
}

void WorkerPool::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
    m_jobs.clear();
  }
  JoinThreads();
}

void WorkerPool::Finish()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
  }
  JoinThreads();
}

void WorkerPool::JoinThreads()
{
  m_jobReady.notify_all();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

void WorkerPool::Work()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  while (true) {
    ++m_idle;
    m_jobReady.wait(lock, [this] { return m_stopped || !m_jobs.empty(); });
    --m_idle;
    if (m_jobs.empty()) {
      return;
    }
    const std::function<void()> job = std::move(m_jobs.front());
    m_jobs.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

} // namespace lycheestep
