#ifndef LYCHEESTEP_STOP_SENDERS_H
#define LYCHEESTEP_STOP_SENDERS_H

#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace lycheestep {

class OrderQueue;
class SenderLimit;
struct QueuedOrder;

// The threads that send the stops of one target, each stop on a connection that
// waits for no other answer. A thread is started when a stop waits and none is
// idle, and ends when it was idle for a while. The first thread of a target is
// always allowed, so that stops leave, if one at a time, also while the limit
// of the host is reached. Thread-safe.
class StopSenders
{
public:
  // Sends and reports one order; waits for the answer.
  using Send = std::function<void(const QueuedOrder&)>;

  // Sends the stops of aQueue. aSend is called on several threads at the same
  // time. aLimit counts the threads of all targets beyond their first ones.
  StopSenders(OrderQueue& aQueue, SenderLimit& aLimit, Send aSend);
  // Waits for the threads. The queue must be closed.
  ~StopSenders();
  StopSenders(const StopSenders&) = delete;
  StopSenders& operator=(const StopSenders&) = delete;

  // Starts threads if stops wait for which none is idle. Called after each stop
  // that was added to the queue. Does not block.
  void AddIfNeeded();

  // Frees threads that have ended. Does not wait for others.
  void JoinEnded();

  // Returns true if all threads have ended. When the queue is closed, each ends
  // after its call in flight.
  bool IsFinished() const;

private:
  using Threads = std::list<std::thread>;

  // Returns true and counts one more thread if one may be started.
  bool Reserve();
  // Counts one thread less, after it was removed from m_running or was not
  // started.
  void Unreserve();
  // Starts a thread that sends aFirst and then the stops that wait.
  void Launch(QueuedOrder aFirst);
  void Run(Threads::iterator aThread, const QueuedOrder& aFirst);
  // Sends aFirst, and other stops until none has come for a while.
  void SendStops(const QueuedOrder& aFirst);
  // Moves a thread to m_ended. Returns false if it must send more stops.
  bool End(Threads::iterator aThread);

  OrderQueue& m_queue;
  SenderLimit& m_limit;
  const Send m_send;
  mutable std::mutex m_mutex;
  std::condition_variable m_threadEnded;
  Threads m_running;
  // Threads that run no more code of this class, to be joined.
  Threads m_ended;
};

} // namespace lycheestep

#endif
