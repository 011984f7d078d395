#ifndef LYCHEESTEP_ADVICE_DISPATCHER_H
#define LYCHEESTEP_ADVICE_DISPATCHER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lycheestep/advice.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Distributes calls to the advisor over the hosts, because the advisor serves
// only one call of each host at a time. Each call goes to the host that is
// expected to be free first. Used by the control thread only.
class AdviceDispatcher
{
public:
  // Sends a call to aHost. An empty name means this host.
  using Send = std::function<void(const std::string& aHost,
                                  const AdviceRequest& aRequest,
                                  Duration aTimeout)>;
  // Receives the advisor's reply to each call. If the call timed out, aAnswer
  // says that there was no reply.
  using AnswerCallback = std::function<void(const AdviceAnswer& aAnswer)>;

  AdviceDispatcher(Send aSend, AnswerCallback aAnswer);

  // Sets the other hosts that are alive. A host that is missing from aHosts
  // gets no more calls; its calls in flight end with a reply or a timeout.
  void SetHosts(const std::vector<std::string>& aHosts);

  // Returns true if a host is free, or is expected to be free by the time that
  // a call reaches it.
  bool CanAsk(TimePoint aNow) const;

  AdvisorUse Use(TimePoint aNow) const;

  // Sends a call to the host that is free first, or to this host if every host
  // is busy or in quarantine. aServiceTime is the time that the advisor needs
  // for the call.
  void Ask(const AdviceRequest& aRequest,
           Duration aServiceTime,
           TimePoint aNow);

  // Handles a reply from any host. A reply whose ticket belongs to no call in
  // flight is ignored.
  void OnAnswer(const AdviceAnswer& aAnswer, TimePoint aNow);

  // Reports to the AnswerCallback that there was no reply to each call that has
  // timed out, and quarantines the host of that call.
  void Tick(TimePoint aNow);

private:
  struct Host
  {
    // The number of calls in flight to this host.
    std::size_t m_calls = 0;
    // The time at which the reply to the last call in flight is expected.
    TimePoint m_busyUntil;
    TimePoint m_quarantinedUntil;
  };

  struct Call
  {
    std::string m_host;
    // The call times out at this time.
    TimePoint m_deadline;
  };

  // Returns the host that is expected to be free first, or null if every host
  // is in quarantine or has the maximum number of calls in flight.
  const std::pair<const std::string, Host>* FindFirstFree(TimePoint aNow) const;

  const Send m_send;
  const AnswerCallback m_answer;
  // Keyed by name; the empty name is this host.
  std::map<std::string, Host> m_hosts;
  // Calls in flight, by ticket.
  std::map<std::uint64_t, Call> m_calls;
};

} // namespace lycheestep

#endif
