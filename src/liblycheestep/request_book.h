#ifndef LYCHEESTEP_REQUEST_BOOK_H
#define LYCHEESTEP_REQUEST_BOOK_H

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "live_request.h"
#include "lycheestep/id.h"
#include "lycheestep/request.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The requests that this host looks after, and the answers of those that are
// over, so that a repeated id is answered and not run again. Answers are kept
// for the record retention, and at most kAnswerLimit of them.
class RequestBook
{
public:
  static constexpr std::size_t kAnswerLimit = 20000;

  // Adds a live request; its id must not be live yet. The reference stays
  // valid until Close.
  LiveRequest& Open(LiveRequest aRequest);

  // The live request of that id, or null.
  LiveRequest* Find(const RequestId& aId);

  // Removes a live request and keeps its answer. aFinal: the id can't come to
  // another end at any host.
  void Close(const RequestId& aId,
             const Answer& aAnswer,
             bool aFinal,
             TimePoint aNow,
             Duration aRetention);

  // Removes a live request that another host looks after from now on.
  void Drop(const RequestId& aId);

  // The kept answer of that id, or null. Tells what happened at this host.
  const Answer* FindAnswer(const RequestId& aId) const;

  // The same, but only if it is final: what callers may be told of the id.
  const Answer* FindFinalAnswer(const RequestId& aId) const;

  // Forgets answers that are too old.
  void Expire(TimePoint aNow);

  // Wakes a live request at aAt; a request may have several timers.
  void SetTimer(const RequestId& aId, TimePoint aAt);

  // Takes out the requests whose timers are due; some may be over by now.
  std::vector<RequestId> TakeDue(TimePoint aNow);

  // The earliest timer, TimePoint::max() when there is none.
  TimePoint NextTimer() const;

  // Notes that a caller waits for a request, so that it is found when the
  // caller hangs up.
  void NoteWaiter(CallerTicket aTicket, const RequestId& aId);

  // The request that the caller waits for, forgotten by this call; empty when
  // there is none.
  RequestId TakeWaiter(CallerTicket aTicket);

  // Live requests in order of their ids.
  std::map<RequestId, LiveRequest>& Live() { return m_live; }
  const std::map<RequestId, LiveRequest>& Live() const { return m_live; }

private:
  struct KeptAnswer
  {
    Answer m_answer;
    bool m_final = false;
  };

  void ForgetOldest();

  std::map<RequestId, LiveRequest> m_live;
  std::set<std::pair<TimePoint, RequestId>> m_timers;
  std::unordered_map<CallerTicket, RequestId> m_waiters;
  std::unordered_map<RequestId, KeptAnswer> m_answers;
  // Kept answers by the time at which they are forgotten.
  std::deque<std::pair<TimePoint, RequestId>> m_order;
};

} // namespace lycheestep

#endif
