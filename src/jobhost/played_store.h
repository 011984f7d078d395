#ifndef LYCHEESTEP_PLAYED_STORE_H
#define LYCHEESTEP_PLAYED_STORE_H

#include <condition_variable>
#include <future>
#include <list>
#include <mutex>
#include <optional>
#include <string>

#include "boot_clock.h"
#include "lycheestep/row_store.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// How long the play waits, in real time, for a thread to make its next call.
constexpr Duration kThreadWait = std::chrono::milliseconds(400);

// A write on its way to the store or back.
struct PlayedCall
{
  RowTransaction m_transaction;
  TimePoint m_sent;
  // When the store does the write, if it does, and when the answer is read.
  std::optional<TimePoint> m_doneAt;
  TimePoint m_answeredAt;
  bool m_planned = false;
  bool m_lost = false;
  bool m_refused = false;
  bool m_tellsClock = true;
  RowAnswer m_answer;
  std::promise<RowAnswer> m_reply;
};

// The store as one host reaches it: each write waits until the play answers it.
class PlayedStore : public RowStore
{
public:
  RowAnswer Transact(const RowTransaction& aTransaction,
                     Duration /*aTimeout*/) override
  {
    std::future<RowAnswer> reply;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_closed) {
        return RowAnswer();
      }
      m_calls.emplace_back();
      m_calls.back().m_transaction = aTransaction;
      m_calls.back().m_sent = BootClockNow();
      reply = m_calls.back().m_reply.get_future();
    }
    m_called.notify_all();
    return reply.get();
  }

  RowAnswer Read(const RowRange& /*aRange*/, Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

  RowAnswer Feed(const std::string& /*aTable*/,
                 std::uint64_t /*aVersion*/,
                 Duration /*aWait*/,
                 Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

  // Waits in real time until there is a call.
  bool WaitForCall()
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_called.wait_for(
      lock, kThreadWait, [this] { return !m_calls.empty(); });
  }

  // Answers no call from now on.
  void Close()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
    for (PlayedCall& call : m_calls) {
      call.m_reply.set_value(RowAnswer());
    }
    m_calls.clear();
  }

  std::mutex m_mutex;
  std::list<PlayedCall> m_calls;

private:
  std::condition_variable m_called;
  bool m_closed = false;
};

} // namespace lycheestep

#endif
