#ifndef LYCHEESTEP_SENDER_LIMIT_H
#define LYCHEESTEP_SENDER_LIMIT_H

#include <atomic>
#include <cstddef>

namespace lycheestep {

// Limits the threads that several users start when they need them, so that a
// large fleet of slow targets does not take thousands of threads from a small
// host. Thread-safe.
class SenderLimit
{
public:
  explicit SenderLimit(std::size_t aMaxThreads);
  SenderLimit(const SenderLimit&) = delete;
  SenderLimit& operator=(const SenderLimit&) = delete;

  // Returns the limit that all connections of this process share.
  static SenderLimit& OfHost();

  // Counts one more thread, unless the limit is reached. Returns false then.
  bool TryAcquire();

  // Counts one thread less. Called once for each TryAcquire that returned true.
  void Release();

  // Returns true if TryAcquire would return false.
  bool IsReached() const { return m_threads >= m_maxThreads; }

private:
  const std::size_t m_maxThreads;
  std::atomic<std::size_t> m_threads{ 0 };
};

} // namespace lycheestep

#endif
