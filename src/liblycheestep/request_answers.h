#ifndef LYCHEESTEP_REQUEST_ANSWERS_H
#define LYCHEESTEP_REQUEST_ANSWERS_H

#include <string>
#include <system_error>

#include "asker.h"
#include "core_context.h"
#include "lycheestep/id.h"
#include "lycheestep/request.h"

namespace lycheestep {

namespace proto {
class ForwardedAnswer;
class RecordRow;
}

struct CoreParts;
struct LiveRequest;

// Ends requests: writes the outcome to the record if there is one, and only
// then answers everybody who waits.
class RequestAnswers
{
public:
  explicit RequestAnswers(CoreParts& aParts);

  // Answers one asker; nothing is kept.
  void Send(CoreContext& aContext, const Asker& aAsker, const Answer& aAnswer);

  // Answers one asker that this host does not run the request, and why. The
  // outcome is "not run" if no other host can have taken it.
  void Refuse(CoreContext& aContext,
              const Asker& aAsker,
              const Request& aRequest,
              std::error_code aError,
              const std::string& aDetail,
              Duration aRetryAfter);

  // Answers everybody who waits for the request; it stays live.
  void SendToAll(CoreContext& aContext,
                 const LiveRequest& aLive,
                 const Answer& aAnswer);

  // Tells everybody who waits that the request is accepted and its answer
  // can be asked for later.
  void SendPending(CoreContext& aContext, LiveRequest& aLive);

  // Ends a live request. "Not run" is corrected to what is true if an attempt
  // ran or may have run before. The request is gone from the book afterwards,
  // at once or when its record is written.
  void Finish(CoreContext& aContext, LiveRequest& aLive, Answer aAnswer);

  // Another host looks after the request: answers everybody who waits here
  // with what is known of it, and forgets it. Nothing of it may be at a
  // target from here.
  void HandOver(CoreContext& aContext,
                const RequestId& aRequest,
                const Answer& aAnswer);

  // The answer that a record stands for; pending while it is not over.
  static Answer FromRecord(const proto::RecordRow& aRecord);

  // An answer to and from its form between entry hosts.
  static void ToProto(const Answer& aAnswer, proto::ForwardedAnswer* aTo);
  static Answer FromProto(const proto::ForwardedAnswer& aFrom);

private:
  static Outcome OutcomeOfRefusal(const Request& aRequest);
  static void CorrectNotRun(const LiveRequest& aLive, Answer& aAnswer);
  void Deliver(CoreContext& aContext, const Answer& aAnswer);
  void ForgetAtTargets(const LiveRequest& aLive);

  CoreParts& m_parts;
};

} // namespace lycheestep

#endif
