#include "sender_limit.h"

namespace lycheestep {

namespace {

// The limit of one process.
constexpr std::size_t kMaxThreadsOfHost = 256;

} // namespace

SenderLimit::SenderLimit(std::size_t aMaxThreads)
  : m_maxThreads(aMaxThreads)
{
}

SenderLimit& SenderLimit::OfHost()
{
  static SenderLimit limit(kMaxThreadsOfHost);
  return limit;
}

bool SenderLimit::TryAcquire()
{
  std::size_t threads = m_threads;
  while (threads < m_maxThreads) {
    if (m_threads.compare_exchange_weak(threads, threads + 1)) {
      return true;
    }
  }
  return false;
}

void SenderLimit::Release()
{
  --m_threads;
}

} // namespace lycheestep
