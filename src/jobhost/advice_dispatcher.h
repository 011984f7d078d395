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

// Spreads calls for advice over hosts, as the advisor serves one call of each
// host at a time. Each call goes to the host that is free first. Used by the
// control thread only.
class AdviceDispatcher
{
public:
  // Sends a call to a host; the host's name is empty for this one.
  using Send = std::function<void(const std::string& aHost,
                                  const AdviceRequest& aRequest,
                                  Duration aTimeout)>;
  // Gives an answer to whoever asked.
  using DeliverAnswer = std::function<void(const AdviceAnswer& aAnswer)>;

  AdviceDispatcher(Send aSend, DeliverAnswer aAnswer);

  // The other hosts that alive.
  void SetHosts(const std::vector<std::string>& aHosts);

  // True when a host is free, or will be by the time that a call reaches it.
  bool CanAsk(TimePoint aNow) const;

  // The advisor needs aServiceTime for the call.
  void Ask(const AdviceRequest& aRequest,
           Duration aServiceTime,
           TimePoint aNow);

  // An answer came, from whichever host. Unknown ones are ignored.
  void OnAnswer(const AdviceAnswer& aAnswer, TimePoint aNow);

  // Gives up calls without answer, and leaves their hosts out for a while.
  void Tick(TimePoint aNow);

private:
  struct Host
  {
    std::size_t m_calls = 0;
    // When its calls are answered, as far as can be told.
    TimePoint m_busyUntil;
    TimePoint m_quarantinedUntil;
  };

  struct Call
  {
    std::string m_host;
    TimePoint m_deadline;
  };

  // The host that is free first; null when all are left out.
  const std::pair<const std::string, Host>* FindFirstFree(TimePoint aNow) const;

  const Send m_send;
  const DeliverAnswer m_answer;
  // The empty name is this host.
  std::map<std::string, Host> m_hosts;
  std::map<std::uint64_t, Call> m_calls;
};

} // namespace lycheestep

#endif
