#ifndef LYCHEESTEP_REQUEST_INTAKE_H
#define LYCHEESTEP_REQUEST_INTAKE_H

#include <cstdint>
#include <string>
#include <system_error>

#include "asker.h"
#include "core_context.h"
#include "lycheestep/id.h"
#include "lycheestep/request.h"
#include "record_keeper.h"

namespace lycheestep {

namespace proto {
class ForwardedAnswer;
class ForwardedRequest;
}

struct CoreParts;
class RequestAnswers;
struct LiveRequest;
struct WaitingWork;

// Takes requests in: checks them, answers repeated ids, refuses or forwards
// what can't start in time here, records durable work before it is
// acknowledged, and puts the rest into the admission queue.
class RequestIntake : public RecordListener
{
public:
  // Most bytes of a request id.
  static constexpr std::size_t kIdLimit = 128;

  RequestIntake(CoreParts& aParts, RequestAnswers& aAnswers);

  // A request of a caller or of a peer.
  void Submit(CoreContext& aContext, const Asker& aAsker, Request aRequest);

  // What became of a request.
  void Result(CoreContext& aContext,
              const Asker& aAsker,
              const RequestId& aRequest);

  // The caller of that ticket hung up.
  void CallerLeft(CallerTicket aTicket);

  // A request that a peer forwarded, and a peer's answer to a forwarded one.
  void HandleForwarded(CoreContext& aContext,
                       const EntryId& aFrom,
                       const proto::ForwardedRequest& aRequest);
  void HandleForwardedAnswer(CoreContext& aContext,
                             const proto::ForwardedAnswer& aAnswer);

  // Hands a request that waits to a peer that has room for it; false when
  // there is none or it must stay here.
  bool TryForward(CoreContext& aContext, LiveRequest& aLive);

  // A timer of the request is due: puts it back into the queue for a retry,
  // or gives up on the answer of a peer.
  void HandleTimer(CoreContext& aContext, LiveRequest& aLive);

  // Puts a live request that is to be placed into the queue, however long
  // the queue is.
  void Requeue(CoreContext& aContext, LiveRequest& aLive);

  void OnAdopted(CoreContext& aContext,
                 const proto::RecordRow& aRecord) override;
  void OnRecordLost(CoreContext& aContext, const RequestId& aId) override;

private:
  bool AnswerRepeated(CoreContext& aContext,
                      const Asker& aAsker,
                      const RequestId& aId);
  bool RefuseInvalid(CoreContext& aContext,
                     const Asker& aAsker,
                     const Request& aRequest);
  void Admit(CoreContext& aContext, const Asker& aAsker, LiveRequest aLive);
  void ForwardOrRefuse(CoreContext& aContext,
                       const Asker& aAsker,
                       LiveRequest aLive);
  bool HasShares(TimePoint aNow) const;
  void Record(CoreContext& aContext, LiveRequest& aLive);
  void HandleRecorded(CoreContext& aContext,
                      const RequestId& aId,
                      RecordStatus aStatus,
                      const proto::RecordRow* aRecord);
  void AdoptTasks(CoreContext& aContext,
                  LiveRequest& aLive,
                  const proto::RecordRow& aRecord);
  RequestId GenerateId(CoreContext& aContext);
  void AddAsker(LiveRequest& aLive, const Asker& aAsker);
  static WaitingWork ToWaiting(const LiveRequest& aLive, bool aResume);

  CoreParts& m_parts;
  RequestAnswers& m_answers;
};

} // namespace lycheestep

#endif
